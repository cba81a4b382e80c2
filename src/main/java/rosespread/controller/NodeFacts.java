package rosespread.controller;

import java.util.Set;
import rosespread.api.MethodId;
import rosespread.api.ZoneId;
import rosespread.discovery.ListedNode;
import rosespread.validation.TableChangeValidator;

interface NodeFacts {
    TableChangeValidator.ValidationContext context(
            Set<MethodId> methods, Set<ZoneId> zones, double entriesCarried);

    long version();

    boolean isListKnown();

    ZoneId zone(ListedNode node);
}
