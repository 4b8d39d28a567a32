package shelffront.decision;

import static shelffront.decision.RoutingTestHarness.MS;
import static shelffront.routing.Router.UNKNOWN;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;

/**
 * Two replica sets whose hosts change roles and sets, restart and drain, and a router that learns
 * of it late and from messages that are under way for up to seconds. The position of a primary is
 * the present. Positions never decrease, except that of a host that has just lost the role, in some
 * worlds.
 */
final class RoleWorld {

  private static final int HOSTS_PER_SET = 3;
  private static final long NEVER = UNKNOWN;

  /** A host, and what the router has been told of it in its present set. */
  static final class Host {
    final String id;
    final boolean primaryAtStart;
    int set;
    boolean primary;
    long position;
    long primarySince = NEVER;
    long lastPrimary = NEVER;
    long toldReplica = NEVER;
    long toldReplicaArrived = NEVER;
    long joined = NEVER;
    long startedAt;

    /** Whether a message that nothing contradicts has proved that the host is primary. */
    boolean proved;

    Host(String id, int set, boolean primary) {
      this.id = id;
      this.set = set;
      primaryAtStart = primary;
    }
  }

  /** A message of a host to the router, which arrives later than it was written. */
  private record Message(
      long arrivesAt,
      int set,
      Host host,
      Role role,
      long sentAt,
      long writtenAt,
      long position,
      Consumer<Message> deliver) {

    boolean isResponse() {
      return sentAt != NEVER;
    }

    /** The time after which the message was written, as far as the router can know. */
    long provedAt() {
      return isResponse() && position != UNKNOWN ? Math.max(sentAt, writtenAt - 2 * MS) : sentAt;
    }
  }

  final RoutingTestHarness harness = new RoutingTestHarness();
  final RoutingEngine engine = harness.router;
  final List<Host> hosts = new ArrayList<>();
  private final EndpointReports reports =
      new EndpointReports(
          engine.state, new ReplicaPositions(engine.state), new RoleTracker(engine.state));
  private final Random random;
  private final boolean positionsFall;
  private final TreeMap<Long, Message> messages = new TreeMap<>();
  private long now = RoutingTestHarness.START_MICROS;

  RoleWorld(long seed) {
    random = new Random(seed);
    positionsFall = random.nextInt(4) == 0;
    harness.healthChecksAllowed = random.nextInt(4) > 0;
    for (int i = 0; i < 2 * HOSTS_PER_SET; i++) {
      hosts.add(new Host("h" + i, i / HOSTS_PER_SET, i % HOSTS_PER_SET == 0));
      if (hosts.get(i).primaryAtStart) {
        promote(hosts.get(i));
      }
    }
    engine.onStart(now, seed, harness.settings());
    if (random.nextInt(4) == 0) {
      succeedOtherRouter();
    }
    hosts.forEach(host -> list(host, Availability.READY));
  }

  /** Starts the router with the memory of another one lost, which knew the role of every host. */
  private void succeedOtherRouter() {
    hosts.forEach(host -> promote(hosts.get(random.nextInt(hosts.size()))));
    hosts.stream().filter(host -> !host.primary).forEach(host -> host.toldReplica = now);
    engine.onRoleReportsMissed(now);
  }

  /** Lets something happen, and delivers the messages that arrive until then. */
  void step() {
    now += 1 + random.nextInt(random.nextInt(10) == 0 ? 900_000 : 30_000);
    while (!messages.isEmpty() && messages.firstKey() <= now) {
      Message message = messages.pollFirstEntry().getValue();
      engine.state.nowMicros = message.arrivesAt;
      message.deliver.accept(message);
    }
    engine.state.nowMicros = now;
    Host host = hosts.get(random.nextInt(hosts.size()));
    switch (random.nextInt(14)) {
      case 0 -> promote(host);
      case 1 -> demote(host);
      case 2 -> move(host);
      case 3 -> list(host, Availability.DRAINING);
      case 4 -> list(host, Availability.REMOVED);
      case 5, 6 -> list(host, Availability.READY);
      case 7 -> {
        host.startedAt = now;
        list(host, Availability.READY);
      }
      case 8 -> missReports();
      default -> message(host);
    }
  }

  /** Loses what the router knows, as with a suspension: another router is told every role. */
  private void missReports() {
    if (random.nextInt(5) == 0) {
      hosts.stream().filter(host -> !host.primary).forEach(host -> host.toldReplica = now);
      hosts.forEach(host -> host.proved = false);
      hosts.forEach(host -> host.joined = Math.max(host.joined, now));
      engine.onRoleReportsMissed(now);
    }
  }

  // ---- What happens to hosts

  private long position(Host host) {
    long lagMicros = 10 * MS;
    if (host.primary) {
      host.position = now;
    } else if (follows(host)) {
      host.position = Math.max(host.position, now - lagMicros);
    }
    return host.position;
  }

  private boolean follows(Host host) {
    return hosts.stream().anyMatch(other -> other.set == host.set && other.primary);
  }

  private void promote(Host host) {
    hosts.stream().filter(other -> other.set == host.set).forEach(this::demote);
    position(host);
    host.primary = true;
    host.primarySince = now;
  }

  private void demote(Host host) {
    hosts.stream().filter(other -> other.set == host.set).forEach(this::position);
    if (host.primary) {
      host.primary = false;
      host.proved = false;
      host.position -= positionsFall ? random.nextInt(20_000) : 0;
      host.lastPrimary = now;
    }
  }

  private void move(Host host) {
    if (random.nextInt(3) > 0) {
      return;
    }
    demote(host);
    if (random.nextBoolean()) {
      list(host, Availability.REMOVED);
    }
    host.set = 1 - host.set;
    host.lastPrimary = NEVER;
    host.toldReplica = NEVER;
    list(host, Availability.READY);
  }

  // ---- What the router is told

  private void list(Host host, Availability availability) {
    EndpointState before = engine.state.endpoints.get(host.id);
    boolean ready = before != null && before.assignable;
    long startedAt = before != null ? before.listed.startedAtMicros() : 0;
    engine.onEndpoints(
        now,
        EndpointUpdateKind.DELTA,
        now,
        List.of(
            new Endpoint(
                host.id,
                "kind",
                "z1",
                host.set,
                1,
                host.startedAt,
                host.primaryAtStart,
                availability)));
    boolean anew = engine.state.endpoints.get(host.id) != before;
    if (availability == Availability.READY && (!ready || anew || host.startedAt != startedAt)) {
      host.joined = now;
      host.proved = false;
    }
  }

  private void message(Host host) {
    EndpointState endpoint = engine.state.endpoints.get(host.id);
    if (endpoint == null) {
      return;
    }
    long position = position(host) / MS * MS;
    Role role = host.primary ? Role.PRIMARY : Role.REPLICA;
    long delay = 1 + random.nextInt(random.nextInt(4) == 0 ? 2_000_000 : 20_000);
    boolean stamped = random.nextInt(4) > 0;
    Message written =
        switch (random.nextInt(4)) {
          case 0 -> loadReport(host, role, position, delay);
          default -> {
            Attempt attempt = attempt(endpoint, now - random.nextInt(50_000));
            yield new Message(
                now + delay,
                host.set,
                host,
                role,
                attempt.sentAtMicros,
                now,
                stamped ? position + commitRounding(host) : UNKNOWN,
                message -> deliverResponse(message, attempt));
          }
        };
    messages.put(written.arrivesAt, written);
  }

  /** A load report that was written before it was asked for. */
  private Message loadReport(Host host, Role role, long position, long delay) {
    return new Message(
        now + delay, host.set, host, role, UNKNOWN, now, position, this::deliverHealthCheck);
  }

  private Attempt attempt(EndpointState endpoint, long sentAt) {
    Request request =
        new Request(
            "r", RoutingTestHarness.STRONG_READ, null, endpoint.listed.replicaSet(), 0, 0, false);
    PendingRequest pending =
        new PendingRequest(
            request,
            harness.settings().requestClasses().get(request.classIndex()),
            endpoint.replicaSet,
            UNKNOWN,
            null,
            sentAt);
    return new Attempt(pending, endpoint, sentAt);
  }

  private void deliverResponse(Message message, Attempt attempt) {
    // The load report in a response is older, and may state the former role.
    LoadReport older = new LoadReport(message.position, other(message.role), -1, -1, -1);
    tell(message);
    AttemptOutcome outcome =
        new AttemptOutcome(
            "r",
            0,
            message.host.id,
            AttemptStatus.OK,
            true,
            MS,
            message.role,
            message.position,
            random.nextBoolean() ? older : null);
    if (message.role == Role.REPLICA && random.nextInt(4) == 0) {
      message.host.proved = false;
      message.host.toldReplicaArrived = message.arrivesAt;
      engine.onReplicaReport(
          message.arrivesAt,
          message.host.id,
          RoleReport.ofResponse(outcome, false, UNKNOWN, message.arrivesAt));
    } else {
      reports.recordResponse(attempt.endpoint, attempt, outcome);
    }
  }

  private void deliverHealthCheck(Message message) {
    EndpointState endpoint = engine.state.endpoints.get(message.host.id);
    if (endpoint != null) {
      tell(message);
      reports.recordHealthCheck(
          endpoint, new LoadReport(message.position, message.role, -1, -1, -1));
    }
  }

  /** Positions are rounded down to milliseconds, except those of the commits of writes. */
  private long commitRounding(Host host) {
    return host.primary && random.nextBoolean() ? MS : 0;
  }

  private static Role other(Role role) {
    return role == Role.PRIMARY ? Role.REPLICA : Role.PRIMARY;
  }

  /** Keeps what the message tells, if its host is still in the set of which it tells. */
  private void tell(Message message) {
    Host host = message.host;
    if (host.set != message.set) {
      return;
    }
    if (message.role == Role.REPLICA) {
      if (message.isResponse() || !positionsFall) {
        host.toldReplica = Math.max(host.toldReplica, message.writtenAt);
      }
      host.toldReplicaArrived = message.arrivesAt;
      host.proved &= !message.isResponse();
    } else if (host.primary
        && message.provedAt() > host.primarySince + 3 * MS
        && message.provedAt() > host.joined
        && message.provedAt() > host.toldReplicaArrived
        && engine.state.endpoints.containsKey(host.id)) {
      host.proved = true;
    }
  }

  // ---- What must hold

  /** The host that the router trusts as the primary of this set, or null. */
  private Host trustedPrimary(int set) {
    ReplicaSet replicaSet = engine.state.replicaSet(set);
    EndpointState primary = replicaSet.primary;
    return primary == null || !replicaSet.isTrustedPrimary(primary)
        ? null
        : hosts.stream().filter(host -> host.id.equals(primary.id)).findFirst().orElseThrow();
  }

  /** What is wrong with the present state of the router; empty if nothing is. */
  String violation() {
    for (int set = 0; set < 2; set++) {
      Host trusted = trustedPrimary(set);
      if (trusted != null && !trusted.primary && !isExcused(trusted, set)) {
        return trusted.id + " may serve stale reads of set " + set;
      }
    }
    for (Host host : hosts) {
      EndpointState endpoint = engine.state.endpoints.get(host.id);
      boolean assignable = endpoint != null && endpoint.assignable;
      if (host.proved && assignable && trustedPrimary(host.set) != host) {
        return host.id + " is primary again and does not serve";
      }
    }
    return "";
  }

  /**
   * Whether a host was primary of the set, and since then neither a message has told that it is
   * none, nor has the list named it anew where hosts can be asked.
   */
  private boolean isExcused(Host host, int set) {
    return host.set == set
        && host.lastPrimary != NEVER
        && host.toldReplica < host.lastPrimary
        && (host.joined <= host.lastPrimary || !harness.healthChecksAllowed);
  }
}
