package rosespread.fleet;

/** An event of a {@link StagedSettingsRollout}. */
public sealed interface RolloutEvent {
    /** Returns the control address of the controller. */
    String address();

    /** Returns a sentence for the operator. */
    String describe();

    /**
     * The dry run failed at the controller; the settings were applied at no controller.
     *
     * @param address the controller's control address
     * @param reason the reason for the failure
     */
    record DryRunFailed(String address, String reason) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": " + reason + "; nothing was applied anywhere";
        }
    }

    /**
     * The controller applied the settings.
     *
     * @param address the controller's control address
     * @param revision the revision of the settings at this controller
     */
    record Applied(String address, long revision) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": applied as revision " + revision;
        }
    }

    /**
     * The controller did not apply the settings. This controller and the remaining ones keep their
     * former settings.
     *
     * @param address the controller's control address
     * @param reason the reason for the failure
     */
    record ApplyFailed(String address, String reason) implements RolloutEvent {
        @Override
        public String describe() {
            return address + ": " + reason + "; rollout stopped";
        }
    }

    /**
     * The controller applied the settings, but its proxies did not subscribe again within the
     * rollout's resubscribe timeout. The remaining controllers keep their former settings.
     *
     * @param address the controller's control address
     * @param proxies the number of proxies that were subscribed before
     */
    record ProxiesMissing(String address, int proxies) implements RolloutEvent {
        @Override
        public String describe() {
            return address
                    + ": its "
                    + proxies
                    + " proxies did not subscribe again in time; rollout stopped";
        }
    }
}
