package shelffront.server;

import shelffront.gateway.Attempt;
import shelffront.net.TurnLoop.Deadline;

/** What one host connection carries at a time: an attempt, or a probe where there is none. */
final class Errand {

    final Host host;
    final Attempt attempt;
    final long startedAt;
    Deadline connectBy;
    Deadline endBy;
    HostConnection on;
    boolean over;

    Errand(Host host, Attempt attempt, long startedAt) {
        this.host = host;
        this.attempt = attempt;
        this.startedAt = startedAt;
    }
}
