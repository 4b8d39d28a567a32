package shelffront.lab.simulation;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import shelffront.config.GatewayConfig;
import shelffront.gateway.Gateway;
import shelffront.lab.invariants.InvariantChecker.Violation;
import shelffront.lab.invariants.Rule;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.virtual.VirtualNetwork.Weather;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.OperatingLimits;
import shelffront.routing.RequestClass;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * Tests that the invariant checker detects defects. Each defective gateway must violate the rule
 * that covers its defect, and the unmodified gateway must violate none in the same scenario.
 */
class InjectedFaultsTest {

  private static final long SECOND = 1_000_000;

  private static Scenario scenario(
      ReplicaSetParameters.Check check, double perSecond, Fault... faults) {
    return scenario(check, 4, perSecond, faults);
  }

  private static Scenario scenario(
      ReplicaSetParameters.Check check, double fall, double perSecond, Fault... faults) {
    return scenario(check, fall, 400, perSecond, faults);
  }

  private static Scenario scenario(
      ReplicaSetParameters.Check check,
      double fall,
      long applyCost,
      double perSecond,
      Fault... faults) {
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            4,
            40,
            200,
            6_000,
            10_000,
            0.5,
            1_000,
            30_000,
            applyCost,
            0.21,
            18 * SECOND,
            SECOND * 3 / 2,
            SECOND / 2,
            2 * SECOND,
            check,
            50_000,
            fall,
            2 * SECOND,
            false);
    return new Scenario(
        77,
        2,
        1,
        3,
        perSecond,
        9 * SECOND,
        parameters,
        new Weather(300, 700, 0.2),
        SECOND / 2,
        RandomDeployment.plain(true),
        Means.PLAIN,
        List.of(faults));
  }

  private static Fault fault(double atSeconds, FaultKind kind, int target, double time) {
    return new Fault((long) (atSeconds * SECOND), kind, target, (long) (time * SECOND));
  }

  /**
   * Runs a scenario with the unmodified gateway, which must cause no violation, and with a
   * defective one, which must violate {@code rule}.
   */
  private static void assertDetected(
      Rule rule, Scenario scenario, Function<FleetSimulation.GatewayParts, Gateway> defective) {
    assertEquals(
        List.of(),
        FleetSimulation.run(scenario).violations(),
        "unmodified gateway in the same scenario");
    List<Violation> found = FleetSimulation.run(scenario, defective, line -> {}).violations();
    assertTrue(
        found.stream().anyMatch(violation -> violation.rule() == rule),
        "no violation of " + rule + " was detected, only: " + found);
  }

  private static Gateway withSettings(
      FleetSimulation.GatewayParts parts, UnaryOperator<RoutingSettings> change) {
    GatewayConfig config = parts.config();
    return parts.withConfig(
        new GatewayConfig(
            config.name(),
            config.listenAddress(),
            config.discoveryAddress(),
            config.seed(),
            config.maxSockets(),
            config.maxOpenRequests(),
            change.apply(config.settings()),
            config.knownEndpoints()));
  }

  private static RoutingSettings with(
      RoutingSettings settings,
      List<RequestClass> classes,
      LagCheck check,
      SafetyRules rules,
      OperatingLimits limits) {
    return new RoutingSettings(
        new GatewayIdentity(
            settings.gateway().gatewayIndex(),
            settings.gateway().gatewayCount(),
            settings.gateway().zone()),
        settings.tickMicros(),
        classes,
        new ConsistencySettings(
            check,
            settings.consistency().lagWaitMicros(),
            settings.consistency().responsesCarryPosition(),
            settings.consistency().clientsCarryPosition()),
        new EndpointListSettings(
            settings.endpointList().listedRoles(), settings.endpointList().polled()),
        settings.loadReportSource(),
        rules,
        limits,
        settings.crossZoneCost(),
        settings.healthCheckCost());
  }

  private static RoutingSettings withRequestClasses(
      RoutingSettings settings, UnaryOperator<RequestClass> change) {
    List<RequestClass> classes = new ArrayList<>();
    settings.requestClasses().forEach(requestClass -> classes.add(change.apply(requestClass)));
    return with(
        settings,
        classes,
        settings.consistency().lagCheck(),
        settings.safetyRules(),
        settings.limits());
  }

  private static RequestClass withContract(
      RequestClass requestClass, Idempotency effect, long window, Consistency read, long bound) {
    return new RequestClass(
        requestClass.name(),
        requestClass.latencyObjectiveMicros(),
        requestClass.deadlineMicros(),
        requestClass.priorityWeight(),
        requestClass.lateValueFraction(),
        effect,
        requestClass.deduplicationScope(),
        window,
        read,
        bound);
  }

  /**
   * Creates a gateway and replaces a text in all bytes that it writes or reads. The replacement
   * must have the same length.
   */
  private static Gateway tampered(
      FleetSimulation.GatewayParts parts, String out, String outAs, String received, String inAs) {
    parts.channels().tamper(replacing(out, outAs), replacing(received, inAs));
    return parts.unmodified();
  }

  private static UnaryOperator<byte[]> replacing(String target, String replacement) {
    return bytes ->
        target == null
            ? bytes
            : new String(bytes, ISO_8859_1).replace(target, replacement).getBytes(ISO_8859_1);
  }

  @Test
  void detectsReadsFromStaleReplicas() {
    // Writes arrive faster than a replica can apply them.
    assertDetected(
        Rule.FRESH,
        scenario(ReplicaSetParameters.Check.SILENT, 4, 12_000, 500),
        parts ->
            withSettings(
                parts,
                settings ->
                    withRequestClasses(
                        settings,
                        requestClass ->
                            requestClass.consistency() == Consistency.BOUNDED_STALENESS
                                ? withContract(
                                    requestClass,
                                    requestClass.idempotency(),
                                    0,
                                    Consistency.BOUNDED_STALENESS,
                                    60 * SECOND)
                                : requestClass)));
  }

  @Test
  void detectsStrongReadsFromReplicas() {
    assertDetected(
        Rule.FRESH,
        scenario(ReplicaSetParameters.Check.SILENT, 100),
        parts ->
            withSettings(
                parts,
                settings ->
                    withRequestClasses(
                        settings,
                        requestClass ->
                            requestClass.consistency() == Consistency.STRONG
                                ? withContract(
                                    requestClass,
                                    requestClass.idempotency(),
                                    0,
                                    Consistency.EVENTUAL,
                                    0)
                                : requestClass)));
  }

  @Test
  void detectsSessionsThatMissTheirWrites() {
    assertDetected(
        Rule.OWN_WRITES,
        scenario(ReplicaSetParameters.Check.SILENT, 300),
        parts ->
            withSettings(
                parts,
                settings ->
                    withRequestClasses(
                        settings,
                        requestClass ->
                            requestClass.consistency() == Consistency.SESSION
                                ? withContract(
                                    requestClass,
                                    requestClass.idempotency(),
                                    0,
                                    Consistency.EVENTUAL,
                                    0)
                                : requestClass)));
  }

  private static Scenario withCarriedPositions(
      ReplicaSetParameters.Check check, double perSecond, Fault... faults) {
    return scenario(check, perSecond, faults).withDeployment(RandomDeployment.carrying(true));
  }

  @Test
  void detectsIgnoredCarriedPositions() {
    assertDetected(
        Rule.OWN_WRITES,
        withCarriedPositions(ReplicaSetParameters.Check.SILENT, 300),
        parts -> tampered(parts, null, null, ",after=", ",aftex="));
  }

  @Test
  void detectsUnwatchedPushedLists() {
    assertDetected(
        Rule.DRAIN,
        withCarriedPositions(
            ReplicaSetParameters.Check.WAIT, 200, fault(2, FaultKind.DRAIN_BOX, 1, 4)),
        parts -> {
          GatewayConfig config = parts.config();
          return parts.withConfig(
              new GatewayConfig(
                  config.name(),
                  config.listenAddress(),
                  new InetSocketAddress("10.255.0.1", 9),
                  config.seed(),
                  config.maxSockets(),
                  config.maxOpenRequests(),
                  config.settings(),
                  config.knownEndpoints()));
        });
  }

  @Test
  void detectsWorkForDrainingHost() {
    assertDetected(
        Rule.DRAIN,
        scenario(ReplicaSetParameters.Check.WAIT, 200, fault(2, FaultKind.DRAIN_BOX, 1, 4)),
        parts -> {
          // The gateway receives the draining phase as ready.
          parts.channels().tamper(bytes -> bytes, replacing("Terminating", "Ready      "));
          return parts.unmodified();
        });
  }

  @Test
  void detectsOverloadOfWarmingHost() {
    Fault[] faults = {fault(1, FaultKind.KILL_BOX, 1, 0.2)};
    assertDetected(
        Rule.COLD,
        scenario(ReplicaSetParameters.Check.WAIT, 0.6, 900, faults),
        parts ->
            withSettings(
                parts,
                settings ->
                    with(
                        settings,
                        settings.requestClasses(),
                        settings.consistency().lagCheck(),
                        new SafetyRules(
                            settings.safetyRules().drainGraceMicros(),
                            1,
                            0,
                            100,
                            settings.safetyRules().overloadWindowMicros(),
                            false,
                            settings.safetyRules().pollIntervalMicros(),
                            settings.safetyRules().responseSlackMicros()),
                        settings.limits())));
  }

  @Test
  void detectsRepeatedNonIdempotentWrites() {
    Fault[] faults = {
      fault(2, FaultKind.RESET_BOX, 0, 1),
      fault(3, FaultKind.RESET_BOX, 0, 1),
      fault(4, FaultKind.SPOIL_BOX, 0, 4)
    };
    assertDetected(
        Rule.CLASS_PERMITS,
        scenario(ReplicaSetParameters.Check.WAIT, 500, faults),
        parts ->
            withSettings(
                parts,
                settings ->
                    withRequestClasses(
                        settings,
                        requestClass ->
                            requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                                ? withContract(
                                    requestClass, Idempotency.IDEMPOTENT, 0, Consistency.WRITE, 0)
                                : requestClass)));
    assertDetected(
        Rule.NO_DOUBLE_EFFECT,
        scenario(ReplicaSetParameters.Check.WAIT, 500, faults),
        parts -> {
          // Each attempt carries another idempotency key.
          int[] sent = {0};
          parts
              .channels()
              .tamper(
                  bytes -> {
                    String text = new String(bytes, ISO_8859_1);
                    return text.contains("INSERT")
                        ? text.replaceFirst("k=kg", "k=k" + (char) ('h' + sent[0]++ % 9))
                            .getBytes(ISO_8859_1)
                        : bytes;
                  },
                  bytes -> bytes);
          return parts.unmodified();
        });
  }

  @Test
  void detectsKeyedWritesPastTheirWindow() {
    // The primary is killed while it executes writes. The defect shows only if the next primary is
    // elected after their deduplication window and before their deadline, as with some seeds.
    Fault[] faults = {
      fault(2, FaultKind.SLOW_BOX, 18, 1), fault(2.2, FaultKind.KILL_PRIMARY, 0, 1)
    };
    Function<FleetSimulation.GatewayParts, Gateway> defective =
        parts ->
            withSettings(
                parts,
                settings ->
                    withRequestClasses(
                        settings,
                        requestClass ->
                            requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                ? withContract(
                                    requestClass,
                                    Idempotency.IDEMPOTENCY_KEY,
                                    10 * SECOND,
                                    Consistency.WRITE,
                                    0)
                                : requestClass));
    int found = 0;
    for (int seed = 1; seed <= 12; seed++) {
      Scenario scenario = scenario(ReplicaSetParameters.Check.WAIT, 300, faults).withSeed(seed);
      assertEquals(
          List.of(),
          FleetSimulation.run(scenario).violations(),
          "unmodified gateway with seed " + seed);
      found +=
          (int)
              FleetSimulation.run(scenario, defective, line -> {}).violations().stream()
                  .filter(violation -> violation.rule() == Rule.CLASS_PERMITS)
                  .count();
    }
    assertTrue(found > 0, "no violation of CLASS_PERMITS was detected with any seed");
  }

  @Test
  void detectsTwoAttemptsOut() {
    // Hosts do not see that the gateway closes the connections of abandoned attempts.
    assertDetected(
        Rule.ONE_ATTEMPT_OUT,
        scenario(ReplicaSetParameters.Check.WAIT, 500, fault(2, FaultKind.SLOW_BOX, 16, 4)),
        parts -> {
          parts.channels().keepPeersOpen();
          return parts.unmodified();
        });
  }

  @Test
  void detectsAnswersToOtherRequests() {
    assertDetected(
        Rule.RIGHT_VALUE,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> tampered(parts, null, null, "r1", "r2"));
  }

  @Test
  void detectsServedWritesWithoutEffect() {
    assertDetected(
        Rule.NOTHING_LOST,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> tampered(parts, "c=map-write,", "c=map-read, ", null, null));
  }

  @Test
  void detectsRejectedWritesThatRan() {
    assertDetected(
        Rule.TRUE_REFUSAL,
        scenario(ReplicaSetParameters.Check.WAIT, 500, fault(2, FaultKind.SPOIL_BOX, 0, 4)),
        parts -> tampered(parts, "C40003", "C53300", null, null));
  }

  @Test
  void detectsRequestsWithoutAnswer() {
    assertDetected(
        Rule.ONE_ANSWER,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> {
          int[] count = {0};
          parts
              .channels()
              .tamper(
                  bytes ->
                      new String(bytes, ISO_8859_1).contains("SELECT 1") && ++count[0] % 50 == 0
                          ? new byte[0]
                          : bytes,
                  bytes -> bytes);
          return parts.unmodified();
        });
  }

  @Test
  void detectsRequestsAnsweredTwice() {
    assertDetected(
        Rule.ONE_ANSWER,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> {
          parts
              .channels()
              .tamper(
                  bytes -> {
                    String text = new String(bytes, ISO_8859_1);
                    return (text.contains("SELECT 1") ? text + text : text).getBytes(ISO_8859_1);
                  },
                  bytes -> bytes);
          return parts.unmodified();
        });
  }

  @Test
  void detectsAnswersAfterDeadline() {
    // The gateway assumes a longer deadline than its clients have.
    assertDetected(
        Rule.IN_TIME,
        scenario(ReplicaSetParameters.Check.WAIT, 300, fault(2, FaultKind.VANISH_BOX, 0, 9)),
        parts -> tampered(parts, null, null, ",d=3000,", ",d=3085,"));
  }

  @Test
  void detectsResourcesLeftAtTheEnd() {
    assertDetected(
        Rule.NOTHING_LEFT,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> {
          parts.network().budget().tryAcquire(100);
          return parts.unmodified();
        });
  }

  @Test
  void detectsFaultsOfEventLoop() {
    assertDetected(
        Rule.NO_FAULT,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        parts -> {
          parts.network().counters().add(shelffront.net.Counters.Name.FAULTS);
          return parts.unmodified();
        });
  }
}
