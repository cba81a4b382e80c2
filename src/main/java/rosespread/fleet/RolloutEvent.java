package rosespread.fleet;

/** What happened during a {@link StagedSettingsRollout}. */
public sealed interface RolloutEvent {
    /** The control address of the controller concerned. */
    String address();

    /** A sentence for the operator. */
    String describe();

    /**
     * The controller refuses the settings in a dry run, so that no controller got them.
     *
     * @param address its control address
     * @param reason why it refuses
     */
    record DryRunFailed(String address, String reason) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": " + reason + "; nothing was applied anywhere";
        }
    }

    /**
     * The controller works with the settings now.
     *
     * @param address its control address
     * @param revision the settings' revision there
     */
    record Applied(String address, long revision) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": applied as revision " + revision;
        }
    }

    /**
     * The controller did not apply the settings; it and the later ones keep what they have.
     *
     * @param address its control address
     * @param reason why it did not
     */
    record ApplyFailed(String address, String reason) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": " + reason + "; stopped here";
        }
    }

    /**
     * The controller applied the settings, but its proxies did not subscribe again in time; the
     * later ones keep what they have.
     *
     * @param address its control address
     * @param proxies how many proxies were subscribed before
     */
    record ProxiesMissing(String address, int proxies) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": its " + proxies + " proxies are not back in time; stopped here";
        }
    }
}
