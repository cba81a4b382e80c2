package rosespread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Packages depend only on the packages listed for them, without cycles; the packages that make
 * decisions use no I/O, clock or thread.
 */
class ArchitectureTest {
    private static final JavaClasses MAIN_CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("rosespread");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "api|api",
                "table|table api",
                "stats|stats api",
                "policy.state|policy.state stats api",
                "policy|policy policy.state stats api",
                "drain|drain api",
                "audit|audit",
                "fleet|fleet http",
                "store|store table drain api",
                "validation|validation api",
                "codec|codec",
                "channel|channel api codec",
                "http|http codec",
                "settings|settings api",
                "discovery|discovery http api",
                "config|config api",
                "eventloop|eventloop api",
                "resp|resp codec",
                "adapter|adapter config api policy",
                "platform|platform resp config eventloop discovery http api policy",
                "controller|controller eventloop api channel http table store drain discovery"
                        + " settings validation policy",
                "admin|admin audit controller http settings validation",
                "testbed|testbed channel http api discovery table",
                "scenario|scenario testbed http channel settings api"
            })
    void packagesDependOnlyOnAllowedPackages(String name, String allowedPackages) {
        String[] allowed =
                java.util.Arrays.stream(allowedPackages.split(" "))
                        .map(p -> "rosespread." + p)
                        .toArray(String[]::new);
        classes()
                .that()
                .resideInAPackage("rosespread." + name)
                .should()
                .onlyDependOnClassesThat(
                        com.tngtech.archunit.base.DescribedPredicate.describe(
                                "be in the packages allowed for it",
                                c ->
                                        !c.getPackageName().startsWith("rosespread")
                                                || java.util.Arrays.asList(allowed)
                                                        .contains(c.getPackageName())))
                .check(MAIN_CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("rosespread.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
    }

    @Test
    void decisionPackagesUseNoIoClockOrThread() {
        String[] decisionPackages = {
            "rosespread.api",
            "rosespread.validation",
            "rosespread.drain",
            "rosespread.stats",
            "rosespread.policy.state"
        };
        classes()
                .that()
                .resideInAPackage("rosespread.policy")
                .or()
                .resideInAnyPackage(decisionPackages)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "rosespread.policy",
                        "rosespread.api",
                        "rosespread.validation",
                        "rosespread.drain",
                        "rosespread.stats",
                        "rosespread.policy.state",
                        "java.lang",
                        "java.lang.invoke",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream")
                .check(MAIN_CLASSES);
    }
}
