package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.LinkedHashSet;
import shelffront.consistency.ReplicationProgress;
import shelffront.fleet.SlowStartBudget;
import shelffront.routing.Endpoint;
import shelffront.statistics.ConcurrencyLimit;
import shelffront.statistics.DecayingAverage;
import shelffront.statistics.LatencyStatistics;

/** An endpoint as this gateway sees it; holds what was observed, and decides nothing. */
final class EndpointState {

  /** Time in which the weight of a service time in {@link #slowdown} falls to 1/e. */
  private static final double SLOWDOWN_DECAY_SECONDS = 1;

  private static final double LATENCY_DECAY_MICROS = 1_000_000;

  /** Taken for an endpoint that has answered nothing yet. */
  private static final double INITIAL_LATENCY_MICROS = 100_000;

  private static final double INITIAL_LATENCY_OVER_OBJECTIVE = 0.2;

  /** Keeps an endpoint that is listed without a capacity from dividing by zero. */
  private static final double MIN_CAPACITY_HINT = 0.01;

  final String id;
  Endpoint listed;
  ReplicaSet replicaSet;

  /** Listed as ready, so that attempts may be sent to it. */
  boolean assignable;

  final ReplicationProgress progress = new ReplicationProgress();
  long healthCheckedAtMicros = UNKNOWN;
  boolean healthCheckOut;

  /** Until then a connection is idle here, unless it is used or the host closed it. */
  long idleConnectionUntilMicros = UNKNOWN;

  /** Service times over the typical one of the class. */
  final DecayingAverage slowdown = new DecayingAverage(SLOWDOWN_DECAY_SECONDS);

  final LatencyStatistics latency =
      new LatencyStatistics(
          LATENCY_DECAY_MICROS, INITIAL_LATENCY_MICROS, INITIAL_LATENCY_OVER_OBJECTIVE);
  final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
  final LinkedHashSet<Attempt> attemptsOut = new LinkedHashSet<>();
  final DecayingAverage recentSends = new DecayingAverage(SlowStartBudget.WINDOW_SECONDS);
  long lastSentAtMicros = UNKNOWN;

  /** When the newest attempt that it answered was sent: earlier ones are overtaken. */
  long latestAnsweredSendMicros = UNKNOWN;

  long lastResponseAtMicros = UNKNOWN;

  /** Ejections since its last response. */
  int consecutiveEjections;

  /** Connections that broke or were not set up since its last response. */
  int consecutiveConnectionFailures;

  /** Until then idle connections are closed, since other gateways may wait for one. */
  long connectionsScarceUntilMicros = UNKNOWN;

  long ejectedUntilMicros = UNKNOWN;

  /** The last health check failed: one that is answered ends the ejection. */
  boolean healthCheckFailed;

  /** Ejected before and not proved since: one request at a time. */
  boolean onProbation;

  EndpointState(String id) {
    this.id = id;
  }

  double capacityHint() {
    return Math.max(MIN_CAPACITY_HINT, listed.capacityHint());
  }

  boolean isPrimary() {
    return this == replicaSet.primary;
  }

  boolean isEjected(long nowMicros) {
    return nowMicros < ejectedUntilMicros;
  }
}
