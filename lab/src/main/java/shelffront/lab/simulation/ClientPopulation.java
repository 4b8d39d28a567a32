package shelffront.lab.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import shelffront.lab.invariants.CheckedRequest;
import shelffront.lab.invariants.Rule;
import shelffront.lab.load.ClientConnectionHandler;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.routing.Consistency;
import shelffront.routing.RequestClass;

/**
 * The clients of one gateway. They generate an open-loop load: requests are sent when due, no
 * matter how earlier ones ended.
 */
final class ClientPopulation implements ClientConnectionHandler.Listener<CheckedRequest> {

  private static final int SESSIONS = 200;
  private static final int MAX_RETRIES = 2;
  private static final String DATABASE = "ledger";
  private static final String CAPACITY_EXCEEDED = "53300";

  /** Time after the deadline during which a client still accepts a late response. */
  private static final long LATE_RESPONSE_GRACE_MICROS = 100_000;

  private static final long MIN_RETRY_DELAY_MICROS = 50_000;
  private static final double READ_BACK_PROBABILITY = 0.6;
  private static final long MIN_READ_BACK_DELAY_MICROS = 5_000;
  private static final int READ_BACK_DELAY_SPREAD_MICROS = 100_000;
  private static final int IDLE_CLOSE_SPREAD_MICROS = 10_000;
  private static final int ONE_IN_AFFECTED = 3;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long MICROS_PER_MILLI = 1_000;

  /** Exponent of the draw of session numbers; makes low-numbered sessions busier than the rest. */
  private static final int SESSION_SKEW = 3;

  /**
   * A share of the class mix: draws from [0, 1) below {@code upTo} select the class with index
   * {@code requestClass}. All remaining draws select the last class.
   */
  private record ClassShare(double upTo, int requestClass) {}

  private static final List<ClassShare> CLASS_MIX =
      List.of(
          new ClassShare(0.25, 3),
          new ClassShare(0.55, 0),
          new ClassShare(0.8, 1),
          new ClassShare(0.95, 2));

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
   * Creates the clients of one gateway and schedules their first request.
   *
   * @param populations the clients of all gateways; a session whose clients carry its position may
   *     continue at another gateway
   * @param untilMicros time from which no new requests are sent
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

  /** Multiplies the usual request rate by {@code factor}. */
  void setRateFactor(double factor) {
    rateFactor = factor;
  }

  private void scheduleNext() {
    double gapMicros = gaps.sample() * MICROS_PER_SECOND / (perSecond * rateFactor);
    context
        .scheduler()
        .after(
            Math.max(1, (long) gapMicros),
            () -> {
              if (context.nowMicros() < untilMicros) {
                sendRandomRequest();
                scheduleNext();
              }
            });
  }

  private void sendRandomRequest() {
    RequestClass requestClass = drawClass();
    int session = (int) (SESSIONS * Math.pow(random.nextDouble(), SESSION_SKEW));
    int replicaSet = 1 + random.nextInt(context.scenario().sets());
    send(requestClass, replicaSet, "g" + gateway + "s" + session, 0);
  }

  private RequestClass drawClass() {
    List<RequestClass> classes = context.requestClasses();
    double draw = random.nextDouble();
    return CLASS_MIX.stream()
        .filter(share -> draw < share.upTo())
        .findFirst()
        .map(share -> classes.get(share.requestClass()))
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
      return; // the load balancer no longer routes new connections here
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
    connection.send(request, statement, deadlineMicros + LATE_RESPONSE_GRACE_MICROS);
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

  /** Returns the database for a number. A session or connection belongs to a single tenant. */
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

  /**
   * After some successful writes the session reads soon afterwards; rejected requests are retried
   * up to {@link #MAX_RETRIES} times.
   */
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
            MIN_READ_BACK_DELAY_MICROS + random.nextInt(READ_BACK_DELAY_SPREAD_MICROS),
            () -> reader.send(sessionRead, replicaSetOf(write), sessionOf(write), MAX_RETRIES));
  }

  private void scheduleRetry(CheckedRequest rejected, long retryAfterMicros) {
    int earlierTries = recorder.earlierTries(rejected);
    if (earlierTries >= MAX_RETRIES) {
      return;
    }
    context
        .scheduler()
        .after(
            Math.max(MIN_RETRY_DELAY_MICROS, retryAfterMicros),
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
    context.checker().recordViolation(context.nowMicros(), Rule.RIGHT_VALUE, why);
  }

  /** Disconnects a third of the clients that wait for a response. */
  void hangUp() {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      if (!connection.isFree() && random.nextInt(ONE_IN_AFFECTED) == 0) {
        exempt(connection);
        connection.hangUp();
        connections.remove(connection);
      }
    }
  }

  /** Stops a third of the clients from reading for {@code durationMicros}. */
  void stallReaders(long durationMicros) {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      if (random.nextInt(ONE_IN_AFFECTED) == 0) {
        connection.setStalled(true);
        exempt(connection);
        context
            .scheduler()
            .after(
                durationMicros,
                () -> {
                  exempt(connection);
                  connection.setStalled(false);
                });
      }
    }
  }

  /** Opens {@code count} connections that stay idle for {@code durationMicros} and then close. */
  void connectIdle(int count, long durationMicros) {
    for (int i = 0; i < count && gateways.acceptsConnections(gateway); i++) {
      ClientConnectionHandler<CheckedRequest> connection = connect(database(i));
      connection.expectNoAnswer();
      context
          .scheduler()
          .after(durationMicros + random.nextInt(IDLE_CLOSE_SPREAD_MICROS), connection::close);
    }
  }

  /** Exempts the open request, whose response may be late because of the client. */
  private void exempt(ClientConnectionHandler<CheckedRequest> connection) {
    if (connection.currentRequest() != null) {
      context.checker().exempt(connection.currentRequest());
    }
  }

  /** Closes all connections after the end of the load. */
  void closeAll() {
    for (ClientConnectionHandler<CheckedRequest> connection : List.copyOf(connections)) {
      connection.expectNoAnswer();
      connection.close();
    }
    connections.clear();
  }
}
