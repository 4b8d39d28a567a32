package shelffront.decision;

/**
 * Creates the policies to which {@link RoutingEngine} passes events, and connects them.
 *
 * <p>Invariant: the dependencies have no cycle; a policy calls only those passed to its
 * constructor.
 */
final class RoutingPolicies {

  final ReplicaPositions positions;
  final EndpointReports reports;
  final EndpointRegistry registry;
  final EndpointListBackoff listBackoff;
  final SlowStartAdmission slowStartAdmission;
  final AttemptAdmission admission;
  final AttemptOutcomes attemptOutcomes;
  final HealthCheckOutcomes healthCheckOutcomes;
  final HealthCheckScheduler healthChecks;
  final RequestQueueOrder queueOrder;
  final RequestCompletion completion;
  final LoadShedder loadShedder;
  final RequestScheduler scheduler;

  RoutingPolicies(RoutingState state) {
    positions = new ReplicaPositions(state);
    RoleTracker roleTracker = new RoleTracker(state);
    reports = new EndpointReports(state, positions, roleTracker);
    HealthChecker healthChecker = new HealthChecker(state);
    registry = new EndpointRegistry(state, roleTracker, healthChecker);
    listBackoff = new EndpointListBackoff(state);
    slowStartAdmission = new SlowStartAdmission(state);
    RetryPolicy retryPolicy = new RetryPolicy(state);
    admission = new AttemptAdmission(state, retryPolicy, slowStartAdmission);
    queueOrder = new RequestQueueOrder(state);
    completion = new RequestCompletion(state);
    loadShedder = new LoadShedder(state, retryPolicy, completion);

    SlowdownEstimator slowdown = new SlowdownEstimator(state);
    EndpointCapacity capacity = new EndpointCapacity(state, slowStartAdmission);
    SilenceDetector silence = new SilenceDetector(state, slowdown);
    EndpointEjection ejection = new EndpointEjection(state);
    ConnectionFailures connections = new ConnectionFailures(state, ejection, healthChecker);
    attemptOutcomes =
        new AttemptOutcomes(state, positions, slowdown, capacity, ejection, connections);
    healthCheckOutcomes = new HealthCheckOutcomes(state, reports, ejection, connections);

    PreferredReplicas preferred = new PreferredReplicas(state, healthChecker);
    healthChecks = new HealthCheckScheduler(state, preferred, healthChecker);
    OutlierDetector outliers = new OutlierDetector(state, silence, ejection, slowStartAdmission);
    EndpointSuitability suitability = new EndpointSuitability(state, outliers, capacity, slowdown);
    ReplicaSelector replicas =
        new ReplicaSelector(state, suitability, slowdown, positions, preferred);
    PrimarySearch primarySearch = new PrimarySearch(state, outliers);
    EndpointSelector selector =
        new EndpointSelector(state, suitability, capacity, replicas, primarySearch);
    AttemptSender sender = new AttemptSender(state, admission);
    HedgingPolicy hedging = new HedgingPolicy(state, sender, selector, silence, loadShedder);
    scheduler = new RequestScheduler(state, selector, hedging, loadShedder, healthChecks);
  }
}
