package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import shelffront.consistency.ReplicaSetRoles;
import shelffront.fleet.SlowStartBudget;
import shelffront.statistics.DecayingAverage;

/**
 * The endpoints that hold the same data, one primary and its replicas, and the requests queued for
 * them.
 */
final class ReplicaSet {

  /** Time after which the weight of a sample in {@link #slowdown} has fallen to 1/e. */
  private static final double SLOWDOWN_DECAY_SECONDS = 4;

  final TreeMap<String, EndpointState> endpoints = new TreeMap<>();

  /** Whether an endpoint list has ever named an endpoint of this set. */
  boolean listed;

  /** Requests for this set that await their final response. */
  int openRequests;

  /** Ids of the replicas that this gateway prefers; null if they have to be recomputed. */
  List<String> preferredReplicas;

  /** What is known of the roles of the set's endpoints; changed by {@link RoleTracker} only. */
  final ReplicaSetRoles roles = new ReplicaSetRoles();

  /** The presumed primary, or null if none is known or it is not assignable. */
  EndpointState primary;

  /**
   * Id of the endpoint that the search for the primary tried last, or that lost the role; the
   * search continues after it. Empty if the search starts with the first endpoint.
   */
  String lastSearchedId = "";

  /** The write that searches for the primary, or searched last; null before the first search. */
  PendingRequest searchingRequest;

  long searchPausedUntilMicros = UNKNOWN;

  /** Service times of all endpoints, divided by the typical service time of their request class. */
  final DecayingAverage slowdown = new DecayingAverage(SLOWDOWN_DECAY_SECONDS);

  final SlowStartBudget slowStartBudget;

  private final List<LinkedHashSet<PendingRequest>> queues;
  private final List<LinkedHashSet<PendingRequest>> lateQueues;

  ReplicaSet(int requestClassCount, double overloadSeconds) {
    slowStartBudget = new SlowStartBudget(overloadSeconds);
    queues = emptyQueues(requestClassCount);
    lateQueues = emptyQueues(requestClassCount);
  }

  private static List<LinkedHashSet<PendingRequest>> emptyQueues(int count) {
    return Stream.<LinkedHashSet<PendingRequest>>generate(LinkedHashSet::new).limit(count).toList();
  }

  /**
   * Queued requests in order of insertion; those that were dispatched or moved are removed lazily.
   */
  LinkedHashSet<PendingRequest> queue(RequestQueueKey key) {
    return (key.late() ? lateQueues : queues).get(key.classIndex());
  }

  /** Whether the endpoint is the primary, and may serve reads that no position proves fresh. */
  boolean isTrustedPrimary(EndpointState endpoint) {
    return endpoint == primary && roles.isPrimaryTrusted();
  }

  boolean hasQueuedRequests() {
    return Stream.concat(queues.stream(), lateQueues.stream()).anyMatch(queue -> !queue.isEmpty());
  }
}
