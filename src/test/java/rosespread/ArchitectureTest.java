package rosespread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Arrows between packages point one way, and what decides touches no I/O, clock or thread. */
class ArchitectureTest {
    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("rosespread");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "api|api",
                "table|table api",
                "measure|measure api",
                "state|state measure api",
                "drain|drain api",
                "audit|audit",
                "fleet|fleet http",
                "store|store table drain api",
                "release|release api",
                "channel|channel api",
                "http|http",
                "settings|settings api",
                "list|list http api",
                "launch|launch api",
                "turn|turn api",
                "resp|resp",
                "adapter|adapter launch api .",
                "platform|platform resp launch turn list http api .",
                "conductor|conductor turn api channel http table store drain list settings release .",
                "control|control audit conductor http settings release",
                "standin|standin channel http api list table",
                "rehearse|rehearse standin http channel settings api"
            })
    void packagesUseOnlyWhatLiesBelow(String name, String below) {
        String[] allowed =
                java.util.Arrays.stream(below.split(" "))
                        .map(p -> p.equals(".") ? "rosespread" : "rosespread." + p)
                        .toArray(String[]::new);
        classes()
                .that()
                .resideInAPackage("rosespread." + name)
                .should()
                .onlyDependOnClassesThat(
                        com.tngtech.archunit.base.DescribedPredicate.describe(
                                "lie below",
                                c ->
                                        !c.getPackageName().startsWith("rosespread")
                                                || java.util.Arrays.asList(allowed)
                                                        .contains(c.getPackageName())))
                .check(ALL);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("rosespread.(*)..").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void decisionsTouchNoOutsideWorld() {
        String[] pure = {
            "rosespread.api",
            "rosespread.release",
            "rosespread.drain",
            "rosespread.measure",
            "rosespread.state"
        };
        classes()
                .that()
                .haveFullyQualifiedName("rosespread.Brain")
                .or()
                .resideInAnyPackage(pure)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "rosespread",
                        "rosespread.api",
                        "rosespread.release",
                        "rosespread.drain",
                        "rosespread.measure",
                        "rosespread.state",
                        "java.lang",
                        "java.lang.invoke",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream")
                .check(ALL);
    }
}
