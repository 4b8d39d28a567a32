package shelffront.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.transport.SocketTransport;
import shelffront.lab.transport.Transport;

/**
 * Open-loop load on a gateway, over sockets or the virtual network. Due times are fixed in advance
 * and do not depend on the outcome of earlier requests; latency counts from the due time, so that a
 * stalled gateway is not measured less often (Tene, "How not to measure latency"). The number of
 * connections is fixed; a request that finds all of them busy waits, and its wait counts as
 * latency. Runs on the transport's thread.
 */
public final class OpenLoopLoad implements ClientConnectionHandler.Listener<OpenLoopLoad.Request> {

  /** A request of the load, with the number of times it was sent. */
  public static final class Request {

    private final RequestKind kind;
    private final String id;
    private final String session;
    private final long dueMicros;
    private int attempts;

    private Request(RequestKind kind, String id, String session, long due) {
      this.kind = kind;
      this.id = id;
      this.session = session;
      this.dueMicros = due;
    }
  }

  /** Length of a window in which due and served value are counted, in microseconds. */
  public static final long WINDOW_MICROS = 250_000;

  private static final long MICROS_PER_MILLI = 1_000;
  private static final String CAPACITY_EXCEEDED = "53300";
  private static final String SHUTTING_DOWN = "57P03";
  private static final int MAX_WAITING_REQUESTS = 100_000;
  private static final int MAX_RECORDED_MALFORMED_RESPONSES = 20;
  private static final long CONNECT_TIMEOUT_MICROS = 5_000_000;
  private static final long RECONNECT_DELAY_MICROS = 50_000;
  private static final long START_DELAY_MICROS = 50_000;
  private static final long MAX_READ_BACK_DELAY_MICROS = 20_000;

  private final Transport transport;
  private final InetSocketAddress gateway;
  private final String tenant;
  private final String password;
  private final List<RequestKind> kinds;
  private final ClientBehavior behavior;
  private final double perSecond;
  private final int maxConnections;
  private final UniformRandomProvider random;
  private final Set<ClientConnectionHandler<Request>> connections = new LinkedHashSet<>();
  private final ArrayDeque<ClientConnectionHandler<Request>> freeConnections = new ArrayDeque<>();
  private final ArrayDeque<Request> waitingRequests = new ArrayDeque<>();
  private final LoadResult result = new LoadResult();
  private ArrivalSchedule arrivals;
  private Runnable onEnd;
  private boolean started;
  private boolean ended;
  private long startMicros;
  private long endMicros;
  private long requestCount;
  private long openRequests;

  /**
   * Creates a load that {@link #start} starts.
   *
   * @param password null if the gateway requests none
   * @param kinds at least one
   * @param seed determines all random choices
   */
  public OpenLoopLoad(
      Transport transport,
      InetSocketAddress gateway,
      String tenant,
      String password,
      List<RequestKind> kinds,
      ClientBehavior behavior,
      double perSecond,
      int connections,
      long seed) {
    this.transport = transport;
    this.gateway = gateway;
    this.tenant = tenant;
    this.password = password;
    this.kinds = List.copyOf(kinds);
    this.behavior = behavior;
    this.perSecond = perSecond;
    maxConnections = connections;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    kinds.forEach(kind -> result.byKind.put(kind.name(), new RequestOutcomes()));
  }

  /**
   * Runs a load over sockets and waits until each request that was due has ended, with a response
   * or with its deadline.
   *
   * @param seconds time in which requests become due
   */
  public static LoadResult run(
      InetSocketAddress gateway,
      String tenant,
      String password,
      List<RequestKind> kinds,
      ClientBehavior behavior,
      double perSecond,
      int connections,
      double seconds)
      throws InterruptedException, IOException {
    try (SocketTransport transport = new SocketTransport("load " + tenant)) {
      OpenLoopLoad load =
          new OpenLoopLoad(
              transport,
              gateway,
              tenant,
              password,
              kinds,
              behavior,
              perSecond,
              connections,
              tenant.hashCode());
      CountDownLatch over = new CountDownLatch(1);
      transport.post(() -> load.start((long) (seconds * 1e6), over::countDown));
      transport.await(over);
      return load.result;
    }
  }

  /**
   * Connects, then runs the load.
   *
   * @param length time in which requests become due, in microseconds
   * @param whenOver runs once when every request that was due has ended
   */
  public void start(long length, Runnable whenOver) {
    this.onEnd = whenOver;
    arrivals = new ArrivalSchedule(behavior.arrivals(), perSecond, random);
    for (int i = 0; i < maxConnections; i++) {
      connect();
    }
    // Connection setup is not measured: the load starts once all connections are ready, at the
    // latest after CONNECT_TIMEOUT_MICROS.
    long latest = transport.clock().nowMicros() + CONNECT_TIMEOUT_MICROS;
    transport.clock().at(latest, () -> begin(length));
    awaitConnections(length);
  }

  public LoadResult result() {
    return result;
  }

  private void awaitConnections(long length) {
    if (freeConnections.size() >= connections.size()) {
      begin(length);
    } else if (!started) {
      transport.clock().after(1_000, () -> awaitConnections(length));
    }
  }

  private void begin(long length) {
    if (started) {
      return;
    }
    started = true;
    startMicros = transport.clock().nowMicros() + START_DELAY_MICROS;
    endMicros = startMicros + length;
    scheduleNext();
    long last = kinds.stream().mapToLong(RequestKind::deadlineMillis).max().orElse(0) * 1000;
    transport.clock().at(endMicros + last + CONNECT_TIMEOUT_MICROS, this::end);
  }

  private void scheduleNext() {
    long due = startMicros + arrivals.nextMicros();
    if (due >= endMicros) {
      transport.clock().at(endMicros, this::endIfDone);
      return;
    }
    transport
        .clock()
        .at(
            due,
            () -> {
              scheduleNext();
              result.lagMicros.recordValue(Math.max(0, transport.clock().nowMicros() - due));
              int session =
                  (int)
                      (behavior.sessions() * Math.pow(random.nextDouble(), behavior.sessionSkew()));
              submit(new Request(drawKind(), tenant + "-" + requestCount++, "h" + session, due));
            });
  }

  private RequestKind drawKind() {
    double point = random.nextDouble() * kinds.stream().mapToDouble(RequestKind::share).sum();
    for (RequestKind kind : kinds) {
      point -= kind.share();
      if (point < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void connect() {
    if (connections.size() < maxConnections && !ended) {
      connections.add(
          new ClientConnectionHandler<>(transport, gateway, tenant, tenant, password, this));
    }
  }

  private void submit(Request request) {
    openRequests++;
    countDue(request, 1);
    send(request);
  }

  /** Counts a request as due, or with sign -1 reverts that count. */
  private void countDue(Request request, int sign) {
    for (RequestOutcomes outcomes : outcomesOf(request)) {
      outcomes.due += sign;
      outcomes.valueDue += sign * request.kind.priorityWeight();
    }
    window(request).due += sign * request.kind.priorityWeight();
  }

  private List<RequestOutcomes> outcomesOf(Request request) {
    return List.of(result.total, result.byKind.get(request.kind.name()));
  }

  private LoadResult.Window window(Request request) {
    int index = (int) ((request.dueMicros - startMicros) / WINDOW_MICROS);
    while (result.windows.size() <= index) {
      result.windows.add(new LoadResult.Window());
    }
    return result.windows.get(index);
  }

  private long deadlineMicros(Request request) {
    return request.dueMicros + request.kind.deadlineMillis() * 1000L;
  }

  private void send(Request request) {
    ClientConnectionHandler<Request> connection = freeConnections.poll();
    while (connection != null && !connection.isFree()) {
      connection = freeConnections.poll();
    }
    if (connection == null) {
      enqueue(request);
      return;
    }
    long leftMillis = (deadlineMicros(request) - transport.clock().nowMicros()) / MICROS_PER_MILLI;
    if (leftMillis <= 0) {
      freeConnections.push(connection);
      finish(request, outcomes -> outcomes.unanswered++);
      return;
    }
    request.attempts++;
    byte[] statement =
        ClientConnectionHandler.statement(
            request.id + (request.attempts > 1 ? "." + request.attempts : ""),
            request.kind.name(),
            leftMillis,
            request.id,
            1,
            request.session,
            request.kind.write());
    connection.send(request, statement, deadlineMicros(request));
    if (behavior.hangUpFraction() > 0 && random.nextDouble() < behavior.hangUpFraction()) {
      scheduleHangUp(connection, request);
    }
  }

  /** Queues a request until a connection is free; a request that finds the queue full ends. */
  private void enqueue(Request request) {
    result.waitedCount++;
    if (waitingRequests.size() >= MAX_WAITING_REQUESTS) {
      finish(request, outcomes -> outcomes.unanswered++);
    } else {
      waitingRequests.add(request);
    }
  }

  private void scheduleHangUp(ClientConnectionHandler<Request> connection, Request request) {
    long longestMicros = request.kind.latencyObjectiveMillis() * MICROS_PER_MILLI;
    transport
        .clock()
        .after(
            1 + random.nextInt((int) longestMicros),
            () -> {
              if (connection.currentRequest() == request) {
                connection.hangUp();
                countDue(request, -1);
                finish(request, outcomes -> outcomes.disconnectedByClient++);
                replaceConnection(connection);
              }
            });
  }

  private void finish(Request request, Consumer<RequestOutcomes> how) {
    for (RequestOutcomes outcomes : outcomesOf(request)) {
      how.accept(outcomes);
    }
    openRequests--;
    endIfDone();
  }

  private void useConnection(ClientConnectionHandler<Request> connection) {
    if (connection.isFree()) {
      freeConnections.add(connection);
    }
    Request request = waitingRequests.poll();
    if (request != null) {
      send(request);
    }
  }

  private void replaceConnection(ClientConnectionHandler<Request> connection) {
    connections.remove(connection);
    freeConnections.remove(connection);
    transport.clock().after(RECONNECT_DELAY_MICROS, this::connect);
  }

  @Override
  public void ready(ClientConnectionHandler<Request> connection) {
    useConnection(connection);
  }

  @Override
  public void answered(
      ClientConnectionHandler<Request> connection,
      Request request,
      String value,
      String code,
      long retryAfter) {
    if (code != null) {
      failed(request, code, retryAfter);
    } else if (value == null || !value.startsWith(request.id)) {
      malformedResponse(request.id + " got the value " + value + ", expected one of its own");
      finish(request, outcomes -> outcomes.failed++);
    } else {
      served(request);
    }
    if (random.nextDouble() < behavior.reconnectFraction()) {
      connection.expectNoAnswer();
      connection.close();
      replaceConnection(connection);
    } else {
      useConnection(connection);
    }
  }

  private void failed(Request request, String code, long retryAfterMicros) {
    boolean rejected = code.equals(CAPACITY_EXCEEDED) || code.equals(SHUTTING_DOWN);
    long retryAtMicros =
        transport.clock().nowMicros() + Math.max(RECONNECT_DELAY_MICROS, retryAfterMicros);
    if (rejected
        && request.attempts <= behavior.retries()
        && retryAtMicros < deadlineMicros(request)) {
      transport.clock().at(retryAtMicros, () -> send(request));
    } else if (rejected) {
      finish(request, outcomes -> outcomes.rejected++);
    } else {
      finish(request, outcomes -> outcomes.failed++);
    }
  }

  private void served(Request request) {
    double weight = request.kind.priorityWeight();
    long elapsedMicros = transport.clock().nowMicros() - request.dueMicros;
    boolean onTime = elapsedMicros <= request.kind.latencyObjectiveMillis() * MICROS_PER_MILLI;
    result.latencyMicros.recordValue(
        Math.max(0, Math.min(elapsedMicros, result.latencyMicros.getHighestTrackableValue())));
    if (onTime) {
      window(request).served += weight;
    }
    if (request.kind.write() && random.nextDouble() < behavior.readBackFraction()) {
      readBack(request);
    }
    finish(
        request,
        outcomes -> {
          outcomes.onTime += onTime ? 1 : 0;
          outcomes.late += onTime ? 0 : 1;
          outcomes.valueServed += onTime ? weight : 0;
        });
  }

  private void readBack(Request write) {
    long due = transport.clock().nowMicros() + random.nextLong(MAX_READ_BACK_DELAY_MICROS);
    kinds.stream()
        .filter(k -> !k.write())
        .findFirst()
        .ifPresent(
            kind ->
                transport
                    .clock()
                    .at(
                        due,
                        () -> {
                          if (due < endMicros) {
                            submit(
                                new Request(
                                    kind, tenant + "-" + requestCount++, write.session, due));
                          }
                        }));
  }

  @Override
  public void timedOut(ClientConnectionHandler<Request> connection, Request request) {
    finish(request, outcomes -> outcomes.unanswered++);
    replaceConnection(connection);
  }

  @Override
  public void disconnected(
      ClientConnectionHandler<Request> connection, Request request, boolean reset) {
    if (request != null) {
      finish(request, outcomes -> outcomes.unanswered++);
    }
    replaceConnection(connection);
  }

  @Override
  public void malformedResponse(String why) {
    if (result.malformedResponses.size() < MAX_RECORDED_MALFORMED_RESPONSES) {
      result.malformedResponses.add(why);
    }
  }

  private void endIfDone() {
    if (started && openRequests == 0 && transport.clock().nowMicros() >= endMicros) {
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    // Requests that never got a connection end without a response.
    for (Request request = waitingRequests.poll();
        request != null;
        request = waitingRequests.poll()) {
      finish(request, outcomes -> outcomes.unanswered++);
    }
    for (ClientConnectionHandler<Request> connection : List.copyOf(connections)) {
      connection.expectNoAnswer();
      connection.close();
    }
    onEnd.run();
  }
}
