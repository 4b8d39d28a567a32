package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.LinkedHashSet;
import shelffront.consistency.ReplicationProgress;
import shelffront.fleet.SlowStartBudget;
import shelffront.routing.Endpoint;
import shelffront.statistics.ConcurrencyLimit;
import shelffront.statistics.DecayingAverage;
import shelffront.statistics.LatencyStatistics;

/** State of an endpoint as observed by this gateway; makes no decisions. */
final class EndpointState {

  /** Time after which the weight of a sample in {@link #slowdown} has fallen to 1/e. */
  private static final double SLOWDOWN_DECAY_SECONDS = 1;

  private static final double LATENCY_DECAY_MICROS = 1_000_000;

  /** Assumed latency of an endpoint that has not responded yet. */
  private static final double INITIAL_LATENCY_MICROS = 100_000;

  private static final double INITIAL_LATENCY_OVER_OBJECTIVE = 0.2;

  /** Prevents a division by zero for an endpoint that is listed without a capacity. */
  private static final double MIN_CAPACITY_HINT = 0.01;

  final String id;
  Endpoint listed;
  ReplicaSet replicaSet;

  /** Whether the endpoint is listed as ready, so that attempts may be sent to it. */
  boolean assignable;

  final ReplicationProgress progress = new ReplicationProgress();
  long healthCheckedAtMicros = UNKNOWN;
  boolean healthCheckPending;

  /** Time until which an idle connection is expected, unless it is used or the host closes it. */
  long idleConnectionUntilMicros = UNKNOWN;

  /** Service times divided by the typical service time of their request class. */
  final DecayingAverage slowdown = new DecayingAverage(SLOWDOWN_DECAY_SECONDS);

  final LatencyStatistics latency =
      new LatencyStatistics(
          LATENCY_DECAY_MICROS, INITIAL_LATENCY_MICROS, INITIAL_LATENCY_OVER_OBJECTIVE);
  final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
  final LinkedHashSet<Attempt> outstandingAttempts = new LinkedHashSet<>();
  final DecayingAverage recentSends = new DecayingAverage(SlowStartBudget.WINDOW_SECONDS);
  long lastSentAtMicros = UNKNOWN;

  /**
   * Send time of the newest successful attempt; outstanding attempts sent before it are overtaken.
   */
  long newestSuccessfulSendMicros = UNKNOWN;

  long lastResponseAtMicros = UNKNOWN;

  /** Ejections since the endpoint was last readmitted. */
  int consecutiveEjections;

  /** Connections that broke or could not be established since the endpoint was last readmitted. */
  int consecutiveConnectionFailures;

  /**
   * Until this time, connections to the endpoint are closed when they become idle, because other
   * gateways may need them.
   */
  long connectionsScarceUntilMicros = UNKNOWN;

  long ejectedUntilMicros = UNKNOWN;

  /**
   * Whether a health check has failed since the last readmission; a success then ends the ejection.
   */
  boolean healthCheckFailed;

  /**
   * Whether the endpoint was ejected and has not proved healthy since; it gets one request at a
   * time.
   */
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
