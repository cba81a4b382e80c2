package rosespread.policy;

/** A proxy of the simulated fleet: the tables it routes by and how it acknowledges. */
final class SimulatedProxy {
    /** When a proxy's acknowledgements arrive. */
    enum Acknowledgement {
        PROMPT,
        LATE,
        NEVER
    }

    final int id;
    final int zone;
    final double rate;
    final SimulatedTable[] tables;
    Acknowledgement acknowledgement = Acknowledgement.PROMPT;
    boolean joined;
    int session;

    /** Entries written to the proxy in this round. */
    int writtenEntries;

    SimulatedProxy(int id, int zone, double rate, int methods) {
        this.id = id;
        this.zone = zone;
        this.rate = rate;
        this.tables = new SimulatedTable[methods];
    }

    boolean uses(SimulatedTable table) {
        for (SimulatedTable own : tables) {
            if (own == table) {
                return true;
            }
        }
        return false;
    }

    boolean hasTables() {
        return tables[0] != null;
    }
}
