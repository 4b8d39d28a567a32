package shelffront.routing;

import java.util.List;

/**
 * Everything an instance is told at its start. {@code tick} is the shortest time between two
 * events.
 */
public record RoutingSettings(
    int gatewayIndex,
    int gatewayCount,
    String zone,
    long tickMicros,
    List<RequestClass> requestClasses,
    LagCheck lagCheck,
    long lagWaitMicros,
    boolean responsesCarryPosition,
    boolean clientsCarryPosition,
    ListedRoles listedRoles,
    boolean endpointListPolled,
    LoadReportSource loadReportSource,
    SafetyRules safetyRules,
    OperatingLimits limits,
    double crossZoneCost,
    double healthCheckCost) {}
