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
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.invariants.InvariantChecker.Violation;
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
 * Broken gateways: each must be caught by the check made for it, and the whole one by none on the
 * same days.
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
    ReplicaSetParameters figures =
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
        figures,
        new Weather(300, 700, 0.2),
        SECOND / 2,
        RandomDeployment.plain(true),
        Means.PLAIN,
        List.of(faults));
  }

  private static Fault fault(double at, FaultKind kind, int target, double time) {
    return new Fault((long) (at * SECOND), kind, target, (long) (time * SECOND));
  }

  /**
   * Plays a day on the whole gateway and on a broken one: only the broken one is caught, by this
   * rule.
   */
  private static void caught(
      Rule rule, Scenario scenario, Function<FleetSimulation.GatewayParts, Gateway> broken) {
    assertEquals(
        List.of(), FleetSimulation.run(scenario).violations(), "the whole gateway on the same day");
    List<Violation> found = FleetSimulation.run(scenario, broken, line -> {}).violations();
    assertTrue(found.stream().anyMatch(v -> v.rule() == rule), rule + " was not caught: " + found);
  }

  private static Gateway told(
      FleetSimulation.GatewayParts start, UnaryOperator<RoutingSettings> change) {
    GatewayConfig c = start.config();
    return start.withConfig(
        new GatewayConfig(
            c.name(),
            c.listenAddress(),
            c.discoveryAddress(),
            c.seed(),
            c.maxSockets(),
            c.maxOpenRequests(),
            change.apply(c.settings()),
            c.knownEndpoints()));
  }

  private static RoutingSettings with(
      RoutingSettings s,
      List<RequestClass> classes,
      LagCheck check,
      SafetyRules rules,
      OperatingLimits limits) {
    return new RoutingSettings(
        new GatewayIdentity(
            s.gateway().gatewayIndex(), s.gateway().gatewayCount(), s.gateway().zone()),
        s.tickMicros(),
        classes,
        new ConsistencySettings(
            check,
            s.consistency().lagWaitMicros(),
            s.consistency().responsesCarryPosition(),
            s.consistency().clientsCarryPosition()),
        new EndpointListSettings(s.endpointList().listedRoles(), s.endpointList().polled()),
        s.loadReportSource(),
        rules,
        limits,
        s.crossZoneCost(),
        s.healthCheckCost());
  }

  private static RoutingSettings types(RoutingSettings s, UnaryOperator<RequestClass> change) {
    List<RequestClass> classes = new ArrayList<>();
    s.requestClasses().forEach(c -> classes.add(change.apply(c)));
    return with(s, classes, s.consistency().lagCheck(), s.safetyRules(), s.limits());
  }

  private static RequestClass as(
      RequestClass c, Idempotency effect, long window, Consistency read, long bound) {
    return new RequestClass(
        c.name(),
        c.latencyObjectiveMicros(),
        c.deadlineMicros(),
        c.priorityWeight(),
        c.lateValueFraction(),
        effect,
        c.deduplicationScope(),
        window,
        read,
        bound);
  }

  /**
   * Alters what the gateway writes, or what it reads, wherever a text stands in it; lengths stay.
   */
  private static Gateway tampered(
      FleetSimulation.GatewayParts start, String out, String outAs, String in, String inAs) {
    start.channels().tamper(replacing(out, outAs), replacing(in, inAs));
    return start.unmodified();
  }

  private static UnaryOperator<byte[]> replacing(String what, String by) {
    return bytes ->
        what == null ? bytes : new String(bytes, ISO_8859_1).replace(what, by).getBytes(ISO_8859_1);
  }

  @Test
  void readsFromCopiesThatAreTooOld() {
    // Writes come faster than a replica can apply them.
    caught(
        Rule.FRESH,
        scenario(ReplicaSetParameters.Check.SILENT, 4, 12_000, 500),
        s ->
            told(
                s,
                t ->
                    types(
                        t,
                        c ->
                            c.consistency() == Consistency.BOUNDED_STALENESS
                                ? as(
                                    c,
                                    c.idempotency(),
                                    0,
                                    Consistency.BOUNDED_STALENESS,
                                    60 * SECOND)
                                : c)));
  }

  @Test
  void currentReadsFromReplicas() {
    caught(
        Rule.FRESH,
        scenario(ReplicaSetParameters.Check.SILENT, 100),
        s ->
            told(
                s,
                t ->
                    types(
                        t,
                        c ->
                            c.consistency() == Consistency.STRONG
                                ? as(c, c.idempotency(), 0, Consistency.EVENTUAL, 0)
                                : c)));
  }

  @Test
  void sessionsThatDoNotSeeTheirWrites() {
    caught(
        Rule.OWN_WRITES,
        scenario(ReplicaSetParameters.Check.SILENT, 300),
        s ->
            told(
                s,
                t ->
                    types(
                        t,
                        c ->
                            c.consistency() == Consistency.SESSION
                                ? as(c, c.idempotency(), 0, Consistency.EVENTUAL, 0)
                                : c)));
  }

  private static Scenario carrying(
      ReplicaSetParameters.Check check, double perSecond, Fault... faults) {
    return scenario(check, perSecond, faults).withDeployment(RandomDeployment.carrying(true));
  }

  @Test
  void carriedMarksThatAreNotRead() {
    caught(
        Rule.OWN_WRITES,
        carrying(ReplicaSetParameters.Check.SILENT, 300),
        s -> tampered(s, null, null, ",after=", ",aftex="));
  }

  @Test
  void pushedListsThatNobodyWatches() {
    caught(
        Rule.DRAIN,
        carrying(ReplicaSetParameters.Check.WAIT, 200, fault(2, FaultKind.DRAIN_BOX, 1, 4)),
        s -> {
          GatewayConfig c = s.config();
          return s.withConfig(
              new GatewayConfig(
                  c.name(),
                  c.listenAddress(),
                  new InetSocketAddress("10.255.0.1", 9),
                  c.seed(),
                  c.maxSockets(),
                  c.maxOpenRequests(),
                  c.settings(),
                  c.knownEndpoints()));
        });
  }

  @Test
  void workForABoxThatDrains() {
    caught(
        Rule.DRAIN,
        scenario(ReplicaSetParameters.Check.WAIT, 200, fault(2, FaultKind.DRAIN_BOX, 1, 4)),
        s -> {
          // It does not read that the box drains.
          s.channels().tamper(b -> b, replacing("Terminating", "Ready      "));
          return s.unmodified();
        });
  }

  @Test
  void aColdBoxThatIsPushedOver() {
    Fault[] faults = {fault(1, FaultKind.KILL_BOX, 1, 0.2)};
    caught(
        Rule.COLD,
        scenario(ReplicaSetParameters.Check.WAIT, 0.6, 900, faults),
        s ->
            told(
                s,
                t ->
                    with(
                        t,
                        t.requestClasses(),
                        t.consistency().lagCheck(),
                        new SafetyRules(
                            t.safetyRules().drainGraceMicros(),
                            1,
                            0,
                            100,
                            t.safetyRules().overloadWindowMicros(),
                            false,
                            t.safetyRules().pollIntervalMicros(),
                            t.safetyRules().responseSlackMicros()),
                        t.limits())));
  }

  @Test
  void writesThatRunOnceSentAgain() {
    Fault[] faults = {
      fault(2, FaultKind.RESET_BOX, 0, 1),
      fault(3, FaultKind.RESET_BOX, 0, 1),
      fault(4, FaultKind.SPOIL_BOX, 0, 4)
    };
    caught(
        Rule.CLASS_PERMITS,
        scenario(ReplicaSetParameters.Check.WAIT, 500, faults),
        s ->
            told(
                s,
                t ->
                    types(
                        t,
                        c ->
                            c.idempotency() == Idempotency.NON_IDEMPOTENT
                                ? as(c, Idempotency.IDEMPOTENT, 0, Consistency.WRITE, 0)
                                : c)));
    caught(
        Rule.NO_DOUBLE_EFFECT,
        scenario(ReplicaSetParameters.Check.WAIT, 500, faults),
        s -> {
          // A key that is another each time it is sent.
          int[] sent = {0};
          s.channels()
              .tamper(
                  b -> {
                    String text = new String(b, ISO_8859_1);
                    return text.contains("INSERT")
                        ? text.replaceFirst("k=kg", "k=k" + (char) ('h' + sent[0]++ % 9))
                            .getBytes(ISO_8859_1)
                        : b;
                  },
                  b -> b);
          return s.unmodified();
        });
  }

  @Test
  void keyedWritesSentPastTheirWindow() {
    // The primary dies with writes in it. The next one must be there after their window and before
    // their clients
    // give up, which not every seed gives.
    Fault[] faults = {
      fault(2, FaultKind.SLOW_BOX, 18, 1), fault(2.2, FaultKind.KILL_PRIMARY, 0, 1)
    };
    Function<FleetSimulation.GatewayParts, Gateway> broken =
        s ->
            told(
                s,
                t ->
                    types(
                        t,
                        c ->
                            c.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                ? as(
                                    c,
                                    Idempotency.IDEMPOTENCY_KEY,
                                    10 * SECOND,
                                    Consistency.WRITE,
                                    0)
                                : c));
    int found = 0;
    for (int seed = 1; seed <= 12; seed++) {
      Scenario day = scenario(ReplicaSetParameters.Check.WAIT, 300, faults).withSeed(seed);
      assertEquals(
          List.of(), FleetSimulation.run(day).violations(), "the whole gateway on seed " + seed);
      found +=
          (int)
              FleetSimulation.run(day, broken, line -> {}).violations().stream()
                  .filter(v -> v.rule() == Rule.CLASS_PERMITS)
                  .count();
    }
    assertTrue(found > 0, "caught on none of the seeds");
  }

  @Test
  void twoAttemptsOut() {
    // The gateway closes nothing that it gives up: here, what it writes at the end of a connection
    // is kept back.
    caught(
        Rule.ONE_ATTEMPT_OUT,
        scenario(ReplicaSetParameters.Check.WAIT, 500, fault(2, FaultKind.SLOW_BOX, 16, 4)),
        s -> {
          s.channels().keepPeersOpen();
          return s.unmodified();
        });
  }

  @Test
  void answersThatAreNotTheRequests() {
    caught(
        Rule.RIGHT_VALUE,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> tampered(s, null, null, "r1", "r2"));
  }

  @Test
  void writesThatNeverRanAndWereToldServed() {
    caught(
        Rule.NOTHING_LOST,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> tampered(s, "c=map-write,", "c=map-read, ", null, null));
  }

  @Test
  void writesThatRanAndWereToldUntouched() {
    caught(
        Rule.TRUE_REFUSAL,
        scenario(ReplicaSetParameters.Check.WAIT, 500, fault(2, FaultKind.SPOIL_BOX, 0, 4)),
        s -> tampered(s, "C40003", "C53300", null, null));
  }

  @Test
  void requestsWithoutAnAnswer() {
    caught(
        Rule.ONE_ANSWER,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> {
          int[] count = {0};
          s.channels()
              .tamper(
                  b ->
                      new String(b, ISO_8859_1).contains("SELECT 1") && ++count[0] % 50 == 0
                          ? new byte[0]
                          : b,
                  b -> b);
          return s.unmodified();
        });
  }

  @Test
  void requestsAnsweredTwice() {
    caught(
        Rule.ONE_ANSWER,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> {
          s.channels()
              .tamper(
                  b -> {
                    String text = new String(b, ISO_8859_1);
                    return (text.contains("SELECT 1") ? text + text : text).getBytes(ISO_8859_1);
                  },
                  b -> b);
          return s.unmodified();
        });
  }

  @Test
  void answersThatComeTooLate() {
    // It takes its clients for more patient than they are.
    caught(
        Rule.IN_TIME,
        scenario(ReplicaSetParameters.Check.WAIT, 300, fault(2, FaultKind.VANISH_BOX, 0, 9)),
        s -> tampered(s, null, null, ",d=3000,", ",d=3085,"));
  }

  @Test
  void whatIsLeftAtTheEnd() {
    caught(
        Rule.NOTHING_LEFT,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> {
          s.network().budget().tryAcquire(100);
          return s.unmodified();
        });
  }

  @Test
  void faultsInATurn() {
    caught(
        Rule.NO_FAULT,
        scenario(ReplicaSetParameters.Check.WAIT, 100),
        s -> {
          s.network().counters().add(shelffront.net.Counters.Name.FAULTS);
          return s.unmodified();
        });
  }
}
