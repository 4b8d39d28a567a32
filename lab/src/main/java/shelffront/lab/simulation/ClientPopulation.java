package shelffront.lab.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import shelffront.lab.invariants.InvariantChecker.Asked;
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.load.ClientConnectionHandler;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.routing.Consistency;
import shelffront.routing.RequestClass;

/**
 * The clients of one gateway: requests that come when they are due, whatever became of those
 * before.
 */
final class ClientPopulation implements ClientConnectionHandler.Caller<Asked> {

  private static final int SESSIONS = 200;
  private static final int MOST_RETRIES = 2;
  private static final long PATIENCE =
      100_000; // Beyond its time a client looks whether an answer comes late.

  private final FleetSimulation fleet;
  private final int gateway;
  private final SimulatedMachine machine;
  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential gaps;
  private final double perSecond;
  private final long until;
  private final Set<ClientConnectionHandler<Asked>> connections = new LinkedHashSet<>();
  private double factor = 1;
  private long asked;

  ClientPopulation(
      FleetSimulation fleet,
      int gateway,
      SimulatedMachine machine,
      UniformRandomProvider random,
      double perSecond,
      long until) {
    this.fleet = fleet;
    this.gateway = gateway;
    this.machine = machine;
    this.random = random;
    this.perSecond = perSecond;
    this.until = until;
    gaps = ZigguratSampler.Exponential.of(random);
    arrive();
  }

  /** So many times as many requests as usual. */
  void factor(double times) {
    factor = times;
  }

  private void arrive() {
    long gap = Math.max(1, (long) (gaps.sample() * 1e6 / (perSecond * factor)));
    fleet
        .clock()
        .after(
            gap,
            () -> {
              if (fleet.clock().now() < until) {
                request();
                arrive();
              }
            });
  }

  private void request() {
    List<RequestClass> types = fleet.types();
    double lot = random.nextDouble();
    RequestClass type =
        lot < 0.25
            ? types.get(3)
            : lot < 0.55
                ? types.get(0)
                : lot < 0.8
                    ? types.get(1)
                    : lot < 0.95 ? types.get(2) : types.get(types.size() - 1);
    // Some sessions are busy, most are not.
    int session = (int) (SESSIONS * Math.pow(random.nextDouble(), 3));
    ask(type, 1 + random.nextInt(fleet.scenario().sets()), "g" + gateway + "s" + session, 0);
  }

  private void ask(RequestClass type, int set, String session, int retries) {
    if (fleet.clock().now() >= until) {
      return;
    }
    String database = database(session.hashCode());
    ClientConnectionHandler<Asked> connection =
        connections.stream()
            .filter(c -> c.isFree() && c.database().equals(database))
            .findFirst()
            .orElse(null);
    if (connection == null && !fleet.takesConnections(gateway)) {
      return; // the front sends nobody there any more
    }
    if (connection == null && connections.size() >= fleet.scenario().means().connections()) {
      fleet.notAsked(type);
      return;
    }
    if (connection == null) {
      connection = connect(database);
      connections.add(connection);
    }
    long now = fleet.clock().now();
    String id = "g" + gateway + "r" + asked++;
    String key = type.isWrite() ? "k" + id : null;
    Asked a =
        fleet
            .auditor()
            .asks(id, type, key, set + "/" + session, gateway, now, now + type.deadlineMicros());
    fleet.asked(a, retries);
    connection.ask(
        a,
        ClientConnectionHandler.statement(
            id,
            type.name(),
            type.deadlineMicros() / 1000,
            key,
            set,
            set + "/" + session,
            type.isWrite(),
            carried(a)),
        now + type.deadlineMicros() + PATIENCE);
  }

  private long carried(Asked a) {
    return fleet.scenario().deployment().carried() && a.type.consistency() == Consistency.SESSION
        ? a.mark
        : 0;
  }

  private ClientConnectionHandler<Asked> connect(String database) {
    return new ClientConnectionHandler<>(
        fleet.net().on(machine), fleet.gatewayAddress(gateway), "api", database, null, this);
  }

  /** A session is one tenant's, as is a connection. */
  private String database(int number) {
    int tenants = fleet.scenario().means().tenants();
    return tenants == 0 ? "ledger" : FleetSimulation.tenantName(Math.floorMod(number, tenants));
  }

  private static int set(Asked a) {
    return Integer.parseInt(a.session.substring(0, a.session.indexOf('/')));
  }

  private static String session(Asked a) {
    return a.session.substring(a.session.indexOf('/') + 1);
  }

  /**
   * A read of one's own write comes soon behind it; what was refused is asked again when it was
   * told to.
   */
  @Override
  public void answered(
      ClientConnectionHandler<Asked> by, Asked a, String value, String error, long retryAfter) {
    fleet.answered(a, value, error);
    if (error == null && a.type.isWrite() && random.nextDouble() < 0.6) {
      RequestClass own =
          fleet.types().stream()
              .filter(t -> t.consistency() == Consistency.SESSION)
              .findFirst()
              .orElseThrow();
      ClientPopulation next =
          fleet.scenario().deployment().carried() ? fleet.anyCrowd(random) : this;
      fleet
          .clock()
          .after(
              5_000 + random.nextInt(100_000),
              () -> next.ask(own, set(a), session(a), MOST_RETRIES));
    } else if ("53300".equals(error)) {
      int tried = fleet.retries(a);
      if (tried < MOST_RETRIES) {
        fleet
            .clock()
            .after(Math.max(50_000, retryAfter), () -> ask(a.type, set(a), session(a), tried + 1));
      }
    }
  }

  @Override
  public void late(ClientConnectionHandler<Asked> by, Asked a) {
    fleet.unanswered(a, "had no answer in time");
    connections.remove(by);
  }

  @Override
  public void left(ClientConnectionHandler<Asked> by, Asked a, boolean reset) {
    connections.remove(by);
    if (a != null) {
      fleet.lost(a, reset);
    }
  }

  @Override
  public void malformed(String why) {
    fleet.auditor().violated(fleet.clock().now(), Rule.RIGHT_VALUE, why);
  }

  /** A part of those who wait hang up. */
  void hangUp() {
    for (ClientConnectionHandler<Asked> c : List.copyOf(connections)) {
      if (!c.isFree() && random.nextInt(3) == 0) {
        excuse(c);
        c.hangUp();
        connections.remove(c);
      }
    }
  }

  /** A part of them read nothing for a while. */
  void stall(long time) {
    for (ClientConnectionHandler<Asked> c : List.copyOf(connections)) {
      if (random.nextInt(3) == 0) {
        c.stall(true);
        excuse(c);
        fleet
            .clock()
            .after(
                time,
                () -> {
                  excuse(c);
                  c.stall(false);
                });
      }
    }
  }

  /** So many more connect at once and ask nothing for a while; then all leave. */
  void idle(int count, long time) {
    for (int i = 0; i < count && fleet.takesConnections(gateway); i++) {
      ClientConnectionHandler<Asked> c = connect(database(i));
      c.asksNothing();
      fleet.clock().after(time + random.nextInt(10_000), c::close);
    }
  }

  /** What it waits for may be late by its own fault. */
  private void excuse(ClientConnectionHandler<Asked> c) {
    if (c.current() != null) {
      fleet.auditor().excuse(c.current());
    }
  }

  /** Ends what is open once nothing more is asked. */
  void end() {
    for (ClientConnectionHandler<Asked> c : List.copyOf(connections)) {
      c.asksNothing();
      c.close();
    }
    connections.clear();
  }
}
