package shelffront.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReport;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.Role;
import shelffront.routing.Router;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * Drives one instance of the module by hand: a clock, a small group, and short calls for the
 * events.
 */
final class RoutingTestHarness {

  static final int BOUNDED = 0;
  static final int SESSION = 1;
  static final int ONCE = 2;
  static final int KEYED = 3;
  static final int ANY = 4;
  static final int FRESH = 5;
  static final long MS = 1000;
  static final long START = 1_000_000_000;

  final RecordingActions out = new RecordingActions();
  final RoutingEngine router = new RoutingEngine(out);
  long now = START;
  private int seen;

  LagCheck check = LagCheck.NONE;
  boolean carried = true;
  boolean duplicate = true;
  boolean listAsked;
  boolean retryAfter = true;
  boolean softRemoval;
  int attempts = 6;
  int routers = 4;
  int self;
  DeduplicationScope scope = DeduplicationScope.REPLICA_SET;
  double probePrice = 0.01;

  RoutingSettings settings() {
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "bounded",
                500 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.BOUNDED_STALENESS,
                800 * MS),
            new RequestClass(
                "session",
                600 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.SESSION,
                0),
            new RequestClass(
                "once",
                500 * MS,
                3000 * MS,
                3,
                0.5,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.WRITE,
                0),
            new RequestClass(
                "keyed",
                1000 * MS,
                5000 * MS,
                3,
                0.5,
                Idempotency.IDEMPOTENCY_KEY,
                scope,
                3000 * MS,
                Consistency.WRITE,
                0),
            new RequestClass(
                "any",
                400 * MS,
                1200 * MS,
                1,
                0.2,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.EVENTUAL,
                0),
            new RequestClass(
                "fresh",
                500 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.STRONG,
                0));
    return new RoutingSettings(
        new GatewayIdentity(self, routers, "z1"),
        5 * MS,
        classes,
        new ConsistencySettings(check, 100 * MS, false, carried),
        new EndpointListSettings(ListedRoles.NONE, listAsked),
        LoadReportSource.HEALTH_CHECKS,
        new SafetyRules(
            500 * MS, 0.25, 20_000 * MS, 2.5, 1500 * MS, softRemoval, 10_000 * MS, 20 * MS),
        new OperatingLimits(
            attempts, 2000 * MS, retryAfter, true, duplicate, true, true, 250 * MS, 30_000 * MS),
        0,
        probePrice);
  }

  /** Starts with members m1 (told to be the primary), m2 and m3, all at a current position. */
  RoutingTestHarness start() {
    bare("m1", "m2", "m3");
    probed("m1", Role.PRIMARY, now);
    probed("m2", Role.REPLICA, now);
    probed("m3", Role.REPLICA, now);
    news();
    return this;
  }

  /** Starts with these members and nothing heard of them. */
  RoutingTestHarness bare(String... ids) {
    router.onStart(now, 7, settings());
    List<Endpoint> members = new ArrayList<>();
    for (String id : ids) {
      members.add(member(id, 0, Availability.READY));
    }
    router.onEndpoints(now, EndpointUpdateKind.CACHED, 1, members);
    return this;
  }

  static Endpoint member(String id, long startedAt, Availability availability) {
    return new Endpoint(id, "kind", "z1", 1, 1, startedAt, false, availability);
  }

  void changed(Endpoint... members) {
    router.onEndpoints(now, EndpointUpdateKind.DELTA, 2, List.of(members));
  }

  void probed(String member, Role role, long position) {
    router.onHealthCheckResult(
        now, member, AttemptStatus.OK, MS, new LoadReport(position, role, -1, -1, -1));
  }

  void request(String id, int classIndex) {
    request(id, classIndex, 0);
  }

  void request(String id, int classIndex, long sinceWrite) {
    long left = settings().requestClasses().get(classIndex).deadlineMicros();
    long after = sinceWrite > 0 ? now - sinceWrite : Router.UNKNOWN;
    router.onRequest(now, new Request(id, classIndex, "s", 1, left, after, false));
  }

  void outcome(String id, int attempt, String member, AttemptStatus status, Role role) {
    outcome(id, attempt, member, status, role, 50 * MS);
  }

  void outcome(String id, int attempt, String member, AttemptStatus status, Role role, long took) {
    router.onAttemptOutcome(
        now,
        new AttemptOutcome(
            id,
            attempt,
            member,
            status,
            status == AttemptStatus.OK,
            took,
            role,
            Router.UNKNOWN,
            null));
  }

  /** Lets time pass; timers fire when due, as the embedding proxy would fire them. */
  void pass(long time) {
    long end = now + time;
    while (true) {
      RecordingActions.Timer next = null;
      for (RecordingActions.Timer t : out.timers) {
        next = t.at() <= end && (next == null || t.at() < next.at()) ? t : next;
      }
      if (next == null) {
        break;
      }
      out.timers.remove(next);
      now = Math.max(now + 1, next.at());
      router.onTimer(now, next.name());
    }
    now = Math.max(now, end);
  }

  /** Probes of a member so far. */
  long probesOf(String member) {
    return out.lines.stream().filter(l -> l.equals("probe " + member)).count();
  }

  /** Probes of all members so far. */
  long probes() {
    return out.lines.stream().filter(l -> l.startsWith("probe ")).count();
  }

  /** Actions since the last call, without probes and log lines. */
  List<String> news() {
    List<String> lines =
        out.lines.subList(seen, out.lines.size()).stream()
            .filter(l -> !l.startsWith("probe ") && !l.startsWith("log "))
            .collect(Collectors.toList());
    seen = out.lines.size();
    return lines;
  }
}
