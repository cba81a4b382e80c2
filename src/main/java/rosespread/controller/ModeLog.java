package rosespread.controller;

interface ModeLog {
    void record(String line);
}
