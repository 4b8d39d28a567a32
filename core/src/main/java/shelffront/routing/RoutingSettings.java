package shelffront.routing;

import java.util.List;

/**
 * Settings of a decision module, passed to {@link Router#onStart}.
 *
 * @param gateway identity of the gateway that the module runs in
 * @param tickMicros resolution of the clock: the shortest time between two events at different
 *     times
 * @param requestClasses request classes; {@link Request#classIndex} is an index into this list
 * @param consistency how hosts, responses and clients support consistent reads
 * @param endpointList how the gateway obtains the endpoint list
 * @param loadReportSource messages that carry the load reports of hosts
 * @param safetyRules limits that every attempt must observe
 * @param limits operations that the operator permits
 * @param crossZoneCost cost of one cross-zone attempt per first attempt
 * @param healthCheckCost cost of one health check per first attempt; 0 if health checks are free
 */
public record RoutingSettings(
    GatewayIdentity gateway,
    long tickMicros,
    List<RequestClass> requestClasses,
    ConsistencySettings consistency,
    EndpointListSettings endpointList,
    LoadReportSource loadReportSource,
    SafetyRules safetyRules,
    OperatingLimits limits,
    double crossZoneCost,
    double healthCheckCost) {

  /** The longest deadline of all request classes; 0 without classes. */
  public long longestDeadlineMicros() {
    return requestClasses.stream().mapToLong(RequestClass::deadlineMicros).max().orElse(0);
  }
}
