package shelffront.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import shelffront.route.Router;
import shelffront.route.Router.Availability;
import shelffront.route.Router.ClassSettings;
import shelffront.route.Router.Effect;
import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Limits;
import shelffront.route.Router.ListKind;
import shelffront.route.Router.ListRole;
import shelffront.route.Router.Load;
import shelffront.route.Router.Member;
import shelffront.route.Router.Outcome;
import shelffront.route.Router.Read;
import shelffront.route.Router.ReportSource;
import shelffront.route.Router.Request;
import shelffront.route.Router.Role;
import shelffront.route.Router.Rules;
import shelffront.route.Router.Scope;
import shelffront.route.Router.Settings;
import shelffront.route.Router.Status;

/**
 * Drives one instance of the module by hand: a clock, a small group, and short calls for the
 * events.
 */
final class Bed {

  static final int BOUNDED = 0;
  static final int SESSION = 1;
  static final int ONCE = 2;
  static final int KEYED = 3;
  static final int ANY = 4;
  static final int FRESH = 5;
  static final long MS = 1000;
  static final long START = 1_000_000_000;

  final Recorder out = new Recorder();
  final Decide router = new Decide(out);
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
  Scope scope = Scope.GROUP;
  double probePrice = 0.01;

  Settings settings() {
    List<ClassSettings> classes =
        List.of(
            new ClassSettings(
                "bounded",
                500 * MS,
                1500 * MS,
                1,
                0,
                Effect.REPEATABLE,
                Scope.ALL,
                0,
                Read.BOUNDED,
                800 * MS),
            new ClassSettings(
                "session",
                600 * MS,
                1500 * MS,
                1,
                0,
                Effect.REPEATABLE,
                Scope.ALL,
                0,
                Read.SESSION,
                0),
            new ClassSettings(
                "once", 500 * MS, 3000 * MS, 3, 0.5, Effect.ONCE, Scope.ALL, 0, Read.WRITE, 0),
            new ClassSettings(
                "keyed",
                1000 * MS,
                5000 * MS,
                3,
                0.5,
                Effect.KEYED,
                scope,
                3000 * MS,
                Read.WRITE,
                0),
            new ClassSettings(
                "any", 400 * MS, 1200 * MS, 1, 0.2, Effect.REPEATABLE, Scope.ALL, 0, Read.ANY, 0),
            new ClassSettings(
                "fresh",
                500 * MS,
                1500 * MS,
                1,
                0,
                Effect.REPEATABLE,
                Scope.ALL,
                0,
                Read.FRESH,
                0));
    return new Settings(
        self,
        routers,
        "z1",
        5 * MS,
        classes,
        check,
        100 * MS,
        false,
        carried,
        ListRole.NONE,
        listAsked,
        ReportSource.PROBES,
        new Rules(500 * MS, 0.25, 20_000 * MS, 2.5, 1500 * MS, softRemoval, 10_000 * MS, 20 * MS),
        new Limits(
            attempts, 2000 * MS, retryAfter, true, duplicate, true, true, 250 * MS, 30_000 * MS),
        0,
        probePrice);
  }

  /** Starts with members m1 (told to be the primary), m2 and m3, all at a current position. */
  Bed start() {
    bare("m1", "m2", "m3");
    probed("m1", Role.PRIMARY, now);
    probed("m2", Role.REPLICA, now);
    probed("m3", Role.REPLICA, now);
    news();
    return this;
  }

  /** Starts with these members and nothing heard of them. */
  Bed bare(String... ids) {
    router.onStart(now, 7, settings());
    List<Member> members = new ArrayList<>();
    for (String id : ids) {
      members.add(member(id, 0, Availability.LIVE));
    }
    router.onMembers(now, ListKind.REMEMBERED, 1, members);
    return this;
  }

  static Member member(String id, long startedAt, Availability availability) {
    return new Member(id, "kind", "z1", 1, 1, startedAt, false, availability);
  }

  void changed(Member... members) {
    router.onMembers(now, ListKind.CHANGES, 2, List.of(members));
  }

  void probed(String member, Role role, long position) {
    router.onProbeResult(now, member, Status.OK, MS, new Load(position, role, -1, -1, -1));
  }

  void request(String id, int classIndex) {
    request(id, classIndex, 0);
  }

  void request(String id, int classIndex, long sinceWrite) {
    long left = settings().classes().get(classIndex).deadline();
    long after = sinceWrite > 0 ? now - sinceWrite : Router.UNKNOWN;
    router.onRequest(now, new Request(id, classIndex, "s", 1, left, after, false));
  }

  void outcome(String id, int attempt, String member, Status status, Role role) {
    outcome(id, attempt, member, status, role, 50 * MS);
  }

  void outcome(String id, int attempt, String member, Status status, Role role, long took) {
    router.onOutcome(
        now,
        new Outcome(
            id, attempt, member, status, status == Status.OK, took, role, Router.UNKNOWN, null));
  }

  /** Lets time pass; timers fire when due, as the embedding proxy would fire them. */
  void pass(long time) {
    long end = now + time;
    while (true) {
      Recorder.Timer next = null;
      for (Recorder.Timer t : out.timers) {
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
