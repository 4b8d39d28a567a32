package shelffront.lab.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import shelffront.lab.invariants.CheckedRequest;
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.load.ClientConnectionHandler;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.routing.Consistency;
import shelffront.routing.RequestClass;

/**
 * The clients of one gateway: requests that come when they are due, whatever became of those
 * before.
 */
final class ClientPopulation implements ClientConnectionHandler.Listener<CheckedRequest> {

  private static final int SESSIONS = 200;
  private static final int MOST_RETRIES = 2;
  private static final String DATABASE = "ledger";
  private static final String CAPACITY_EXCEEDED = "53300";

  /** Beyond the deadline a client still looks whether an answer comes late. */
  private static final long GRACE_MICROS = 100_000;

  private static final long SHORTEST_RETRY_MICROS = 50_000;
  private static final double READ_BACK_PROBABILITY = 0.6;
  private static final long SHORTEST_READ_BACK_MICROS = 5_000;
  private static final int READ_BACK_SPREAD_MICROS = 100_000;
  private static final int IDLE_SPREAD_MICROS = 10_000;
  private static final int AFFECTED_ONE_IN = 3;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long MICROS_PER_MILLI = 1_000;

  /** Sessions' numbers are drawn with this exponent: some sessions are busy, most are not. */
  private static final int SESSION_SKEW = 3;

  /** Up to which draw from 0 to 1 a request is of which class; the last class has the rest. */
  private record ClassPart(double upTo, int requestClass) {}

  private static final List<ClassPart> CLASS_MIX =
      List.of(
          new ClassPart(0.25, 3),
          new ClassPart(0.55, 0),
          new ClassPart(0.8, 1),
          new ClassPart(0.95, 2));

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final RequestRecorder recorder;
  private final List<ClientPopulation> populations;
  private final int gateway;
  private final SimulatedMachine machine;
  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential gaps;
  private final double perSecond;
  private final long untilMicros;
  private final Set<ClientConnectionHandler<CheckedRequest>> connections = new LinkedHashSet<>();
  private double rateFactor = 1;
  private long sentCount;

  /**
   * The clients of one gateway, which begin at once.
   *
   * @param populations those of all gateways; a session that carries its position may go on there
   * @param untilMicros from then on nothing new is sent
   */
  ClientPopulation(
      SimulationContext context,
      GatewayFleet gateways,
      RequestRecorder recorder,
      List<ClientPopulation> populations,
      int gateway,
      double perSecond,
      long untilMicros) {
    this.context = context;
    this.gateways = gateways;
    this.recorder = recorder;
    this.populations = populations;
    this.gateway = gateway;
    this.perSecond = perSecond;
    this.untilMicros = untilMicros;
    machine = context.network().machine("c" + gateway);
    random = context.fork();
    gaps = ZigguratSampler.Exponential.of(random);
    scheduleNext();
  }

  /** So many times as many requests as usual. */
  void setRateFactor(double times) {
    rateFactor = times;
  }

  private void scheduleNext() {
    double gapMicros = gaps.sample() * MICROS_PER_SECOND / (perSecond * rateFactor);
    context
        .scheduler()
        .after(
            Math.max(1, (long) gapMicros),
            () -> {
              if (context.nowMicros() < untilMicros) {
                sendDrawn();
                scheduleNext();
              }
            });
  }

  private void sendDrawn() {
    RequestClass requestClass = drawClass();
    int session = (int) (SESSIONS * Math.pow(random.nextDouble(), SESSION_SKEW));
    int replicaSet = 1 + random.nextInt(context.scenario().sets());
    send(requestClass, replicaSet, "g" + gateway + "s" + session, 0);
  }

  private RequestClass drawClass() {
    List<RequestClass> classes = context.requestClasses();
    double draw = random.nextDouble();
    return CLASS_MIX.stream()
        .filter(part -> draw < part.upTo())
        .findFirst()
        .map(part -> classes.get(part.requestClass()))
        .orElse(classes.get(classes.size() - 1));
  }

  private void send(RequestClass requestClass, int replicaSet, String session, int earlierTries) {
    long now = context.nowMicros();
    if (now >= untilMicros) {
      return;
    }
    String database = database(session.hashCode());
    ClientConnectionHandler<CheckedRequest> connection = freeConnection(database);
    if (connection == null && !gateways.acceptsConnections(gateway)) {
      return; // the front sends nobody there any more
    }
    if (connection == null && connections.size() >= context.scenario().means().connections()) {
      recorder.notSent(requestClass);
      return;
    }
    if (connection == null) {
      connection = connect(database);
      connections.add(connection);
    }
    String id = "g" + gateway + "r" + sentCount++;
    String key = requestClass.isWrite() ? "k" + id : null;
    String qualifiedSession = replicaSet + "/" + session;
    long deadlineMicros = now + requestClass.deadlineMicros();
    CheckedRequest request =
        context
            .checker()
            .requestSent(id, requestClass, key, qualifiedSession, gateway, now, deadlineMicros);
    recorder.sent(request, earlierTries);
    byte[] statement =
        ClientConnectionHandler.statement(
            id,
            requestClass.name(),
            requestClass.deadlineMicros() / MICROS_PER_MILLI,
            key,
            replicaSet,
            qualifiedSession,
            requestClass.isWrite(),
            carriedPosition(request));
    connection.send(request, statement, deadlineMicros + GRACE_MICROS);
  }

  private ClientConnectionHandler<CheckedRequest> freeConnection(String database) {
    return connections.stream()
        .filter(connection -> connection.isFree() && connection.database().equals(database))
        .findFirst()
        .orElse(null);
  }

  private long carriedPosition(CheckedRequest request) {
    return context.scenario().deployment().carried()
            && request.requestClass.consistency() == Consistency.SESSION
        ? request.requiredPositionMicros
        : 0;
  }

  private ClientConnectionHandler<CheckedRequest> connect(String database) {
    return new ClientConnectionHandler<>(
        context.network().transportOn(machine),
        gateways.address(gateway),
        "api",
        database,
        null,
        this);
  }

  /** A session is one tenant's, as is a connection. */
  private String database(int number) {
    int tenants = context.scenario().means().tenants();
    return tenants == 0 ? DATABASE : SimulatedGateway.tenantName(Math.floorMod(number, tenants));
  }

  private static int replicaSetOf(CheckedRequest request) {
    return Integer.parseInt(request.session.substring(0, request.session.indexOf('/')));
  }

  private static String sessionOf(CheckedRequest request) {
    return request.session.substring(request.session.indexOf('/') + 1);
  }

  /** Some sessions read their own write soon; a rejected request is sent again when permitted. */
  @Override
  public void answered(
      ClientConnectionHandler<CheckedRequest> connection,
      CheckedRequest request,
      String value,
      String error,
      long retryAfterMicros) {
    recorder.answered(request, value, error);
    if (error == null
        && request.requestClass.isWrite()
        && random.nextDouble() < READ_BACK_PROBABILITY) {
      scheduleReadBack(request);
    } else if (CAPACITY_EXCEEDED.equals(error)) {
      scheduleRetry(request, retryAfterMicros);
    }
  }

  private void scheduleReadBack(CheckedRequest write) {
    RequestClass sessionRead =
        context.requestClasses().stream()
            .filter(requestClass -> requestClass.consistency() == Consistency.SESSION)
            .findFirst()
            .orElseThrow();
    ClientPopulation reader =
        context.scenario().deployment().carried()
            ? populations.get(random.nextInt(populations.size()))
            : this;
    context
        .scheduler()
        .after(
            SHORTEST_READ_BACK_MICROS + random.nextInt(READ_BACK_SPREAD_MICROS),
            () -> reader.send(sessionRead, replicaSetOf(write), sessionOf(write), MOST_RETRIES));
  }

  private void scheduleRetry(CheckedRequest rejected, long retryAfterMicros) {
    int earlierTries = recorder.earlierTries(rejected);
    if (earlierTries >= MOST_RETRIES) {
      return;
    }
    context
        .scheduler()
        .after(
            Math.max(SHORTEST_RETRY_MICROS, retryAfterMicros),
            () ->
                send(
                    rejected.requestClass,
                    replicaSetOf(rejected),
                    sessionOf(rejected),
                    earlierTries + 1));
  }

  @Override
  public void timedOut(ClientConnectionHandler<CheckedRequest> connection, CheckedRequest request) {
    recorder.unanswered(request, "had no answer in time");
    connections.remove(connection);
  }

  @Override
  public void disconnected(
      ClientConnectionHandler<CheckedRequest> connection, CheckedRequest request, boolean reset) {
    connections.remove(connection);
    if (request != null) {
      recorder.connectionLost(request, reset);
    }
  }

  @Override
  public void malformedResponse(String why) {
    context.checker().violated(context.nowMicros(), Rule.RIGHT_VALUE, why);
  }

  /** A part of those who wait hang up. */
  void hangUp() {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      if (!connection.isFree() && random.nextInt(AFFECTED_ONE_IN) == 0) {
        excuse(connection);
        connection.hangUp();
        connections.remove(connection);
      }
    }
  }

  /** A part of them read nothing for a while. */
  void stallReaders(long durationMicros) {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      if (random.nextInt(AFFECTED_ONE_IN) == 0) {
        connection.setStalled(true);
        excuse(connection);
        context
            .scheduler()
            .after(
                durationMicros,
                () -> {
                  excuse(connection);
                  connection.setStalled(false);
                });
      }
    }
  }

  /** So many more connect at once and send nothing for a while; then all leave. */
  void connectIdle(int count, long durationMicros) {
    for (int i = 0; i < count && gateways.acceptsConnections(gateway); i++) {
      ClientConnectionHandler<CheckedRequest> connection = connect(database(i));
      connection.expectNoAnswer();
      context
          .scheduler()
          .after(durationMicros + random.nextInt(IDLE_SPREAD_MICROS), connection::close);
    }
  }

  /** What it waits for may be late by its own fault. */
  private void excuse(ClientConnectionHandler<CheckedRequest> connection) {
    if (connection.currentRequest() != null) {
      context.checker().excuse(connection.currentRequest());
    }
  }

  /** Ends what is open once nothing more is sent. */
  void closeAll() {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      connection.expectNoAnswer();
      connection.close();
    }
    connections.clear();
  }
}
