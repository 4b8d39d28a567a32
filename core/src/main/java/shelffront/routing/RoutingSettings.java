package shelffront.routing;

import java.util.List;

/**
 * Everything that a routing module is told at its start.
 *
 * @param gateway which gateway of the fleet the module runs in
 * @param tickMicros shortest time between two events
 * @param requestClasses the request classes; {@link Request#classIndex} counts from 0 in this list
 * @param consistency how reads are kept consistent
 * @param endpointList where the endpoint list comes from
 * @param loadReportSource where hosts' load reports arrive
 * @param safetyRules figures of the rules that no attempt may break
 * @param limits what the site permits
 * @param crossZoneCost cost of an attempt that crosses zones, for each first attempt
 * @param healthCheckCost cost of a health check, for each first attempt
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
    double healthCheckCost) {}
