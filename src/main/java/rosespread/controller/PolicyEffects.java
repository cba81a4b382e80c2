package rosespread.controller;

import rosespread.api.NodeId;

interface PolicyEffects {
    void checkHealth(NodeId node);

    void watchNodes();

    void startTimer(long nanos);
}
