package shelffront.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.transport.SocketTransport;
import shelffront.lab.transport.Transport;

/**
 * Open-loop load on a gateway, on sockets or on the virtual network: requests are due at times set
 * beforehand, whatever became of those before, and a request's time counts from when it was due
 * (Tene, "How not to measure latency"). So many connections carry it; where all are busy a request
 * waits, and that counts too.
 */
public final class OpenLoopLoad implements ClientConnectionHandler.Listener<OpenLoopLoad.Request> {

  /**
   * A class of requests.
   *
   * @param latencyObjectiveMillis after which an answer is late
   * @param deadlineMillis after which it is worth nothing and its client has gone
   * @param share of the requests, beside the other kinds' shares
   * @param priorityWeight of an answer on time
   */
  public record RequestKind(
      String name,
      boolean write,
      int latencyObjectiveMillis,
      int deadlineMillis,
      double share,
      double priorityWeight) {

    public RequestKind(String name, boolean write, int aimMs, int giveUpMs) {
      this(name, write, aimMs, giveUpMs, 1, 1);
    }
  }

  /**
   * What clients are like beside what they ask.
   *
   * @param arrivals how requests come
   * @param sessions among which requests are spread
   * @param sessionSkew 1 for evenly, more for some that are much busier than others
   * @param readBackFraction part of the served writes that are read soon after, by the first kind
   *     that reads
   * @param retries how often one that was refused comes back, when it was told to
   * @param reconnectFraction part of the answers after which a client leaves and connects anew
   * @param hangUpFraction part of the requests whose client leaves before the answer
   */
  public record ClientBehavior(
      ArrivalSchedule.Pattern arrivals,
      int sessions,
      double sessionSkew,
      double readBackFraction,
      int retries,
      double reconnectFraction,
      double hangUpFraction) {

    /** Even arrivals of clients that ask once and wait. */
    public static final ClientBehavior PLAIN =
        new ClientBehavior(ArrivalSchedule.Pattern.EVEN, 997, 1, 0, 0, 0, 0);
  }

  /** One request under way. */
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

  /**
   * What became of the requests of a class, or of all. Each due one ends as exactly one of the
   * others.
   */
  public static final class Outcomes {

    public long due;
    public long onTime;
    public long late;
    public long rejected;
    public long failed;

    /** No answer, or a connection that ended without one. */
    public long unanswered;

    /** Its client left by itself; not part of what was due. */
    public long hungUp;

    private double valueDue;
    private double valueServed;

    /** Worth answered on time over worth asked for. */
    public double servedValueFraction() {
      return valueDue == 0 ? 1 : valueServed / valueDue;
    }
  }

  /** What became of a load. */
  public static final class Result {

    public final Outcomes total = new Outcomes();
    public final Map<String, Outcomes> byKind = new LinkedHashMap<>();

    /** Worth due and worth served on time in each {@link #WINDOW_MICROS}. */
    public final List<double[]> windows = new ArrayList<>();

    /** Microseconds from due to the end of an answer that served. */
    public final Histogram latencyMicros = new Histogram(60_000_000L, 3);

    /**
     * Microseconds from due until the load itself came to the request: how far the tool lagged
     * behind.
     */
    public final Histogram lagMicros = new Histogram(60_000_000L, 3);

    /** Requests that waited because every connection was busy. */
    public long waitedCount;

    /** Answers with another's value, to nothing, or unreadable. */
    public final List<String> malformedResponses = new ArrayList<>();

    public double servedValueFraction() {
      return total.servedValueFraction();
    }

    public double worstWindow() {
      return windows.stream()
          .filter(window -> window[0] > 0)
          .mapToDouble(window -> window[1] / window[0])
          .min()
          .orElse(1);
    }

    public double worstKind() {
      return byKind.values().stream().mapToDouble(Outcomes::servedValueFraction).min().orElse(1);
    }
  }

  /** Microseconds of a window in which worth is counted. */
  public static final long WINDOW_MICROS = 250_000;

  private static final int MAX_WAITING = 100_000;
  private static final int MAX_RECORDED_MALFORMED = 20;
  private static final long CONNECT_MICROS = 5_000_000;
  private static final long RECONNECT_MICROS = 50_000;
  private static final long HEAD_START_MICROS = 50_000;
  private static final long READ_BACK_MICROS = 20_000;

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
  private final Result result = new Result();
  private ArrivalSchedule arrivals;
  private Runnable onEnd;
  private boolean started;
  private boolean ended;
  private long startMicros;
  private long endMicros;
  private long requestCount;
  private long openRequests;

  /**
   * Kinds at least one; the password is null where none is asked for. Everything drawn follows from
   * the seed.
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
    kinds.forEach(kind -> result.byKind.put(kind.name(), new Outcomes()));
  }

  /**
   * Runs on sockets for so long and ends by itself; what is due then has had its answer or its
   * time.
   */
  public static Result run(
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
   * Connects, then plays for so many microseconds; told once every request that was due has ended.
   */
  public void start(long length, Runnable whenOver) {
    this.onEnd = whenOver;
    arrivals = new ArrivalSchedule(behavior.arrivals(), perSecond, random);
    for (int i = 0; i < maxConnections; i++) {
      connect();
    }
    // What connecting costs is not what is measured here: the clock starts once all had their try.
    long latest = transport.clock().nowMicros() + CONNECT_MICROS;
    transport.clock().at(latest, () -> begin(length));
    awaitConnections(length);
  }

  public Result result() {
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
    startMicros = transport.clock().nowMicros() + HEAD_START_MICROS;
    endMicros = startMicros + length;
    scheduleNext();
    long last = kinds.stream().mapToLong(RequestKind::deadlineMillis).max().orElse(0) * 1000;
    transport.clock().at(endMicros + last + CONNECT_MICROS, this::end);
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
    double lot = random.nextDouble() * kinds.stream().mapToDouble(RequestKind::share).sum();
    for (RequestKind kind : kinds) {
      lot -= kind.share();
      if (lot < 0) {
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

  // ---- A request
  // --------------------------------------------------------------------------------

  private void submit(Request request) {
    openRequests++;
    countDue(request, 1);
    send(request);
  }

  /** Counts a request as due, or, with -1, as not due after all. */
  private void countDue(Request request, int sign) {
    for (Outcomes outcomes : outcomesOf(request)) {
      outcomes.due += sign;
      outcomes.valueDue += sign * request.kind.priorityWeight();
    }
    window(request)[0] += sign * request.kind.priorityWeight();
  }

  private Outcomes[] outcomesOf(Request request) {
    return new Outcomes[] {result.total, result.byKind.get(request.kind.name())};
  }

  private double[] window(Request request) {
    int index = (int) ((request.dueMicros - startMicros) / WINDOW_MICROS);
    while (result.windows.size() <= index) {
      result.windows.add(new double[2]);
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
      result.waitedCount++;
      if (waitingRequests.size() >= MAX_WAITING) {
        finish(request, outcomes -> outcomes.unanswered++);
      } else {
        waitingRequests.add(request);
      }
      return;
    }
    long left = (deadlineMicros(request) - transport.clock().nowMicros()) / 1000;
    if (left <= 0) {
      freeConnections.push(connection);
      finish(request, outcomes -> outcomes.unanswered++);
      return;
    }
    request.attempts++;
    connection.send(
        request,
        ClientConnectionHandler.statement(
            request.id + (request.attempts > 1 ? "." + request.attempts : ""),
            request.kind.name(),
            left,
            request.id,
            1,
            request.session,
            request.kind.write()),
        deadlineMicros(request));
    if (behavior.hangUpFraction() > 0 && random.nextDouble() < behavior.hangUpFraction()) {
      ClientConnectionHandler<Request> hanging = connection;
      transport
          .clock()
          .after(
              1 + random.nextInt(request.kind.latencyObjectiveMillis() * 1000),
              () -> {
                if (hanging.currentRequest() == request) {
                  hanging.hangUp();
                  countDue(request, -1);
                  finish(request, outcomes -> outcomes.hungUp++);
                  replaceConnection(hanging);
                }
              });
    }
  }

  private void finish(Request request, Consumer<Outcomes> how) {
    for (Outcomes outcomes : outcomesOf(request)) {
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
    transport.clock().after(RECONNECT_MICROS, this::connect);
  }

  // ---- What connections tell
  // --------------------------------------------------------------------------------

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
    long now = transport.clock().nowMicros();
    long took = now - request.dueMicros;
    if (code != null) {
      boolean refused = code.equals("53300") || code.equals("57P03");
      long again = now + Math.max(RECONNECT_MICROS, retryAfter);
      if (refused && request.attempts <= behavior.retries() && again < deadlineMicros(request)) {
        transport.clock().at(again, () -> send(request));
      } else {
        finish(
            request,
            outcomes -> {
              outcomes.rejected += refused ? 1 : 0;
              outcomes.failed += refused ? 0 : 1;
            });
      }
    } else if (value == null || !value.startsWith(request.id)) {
      malformedResponse(request.id + " was answered with " + value);
      finish(request, outcomes -> outcomes.failed++);
    } else {
      boolean onTime = took <= request.kind.latencyObjectiveMillis() * 1000L;
      result.latencyMicros.recordValue(
          Math.max(0, Math.min(took, result.latencyMicros.getHighestTrackableValue())));
      if (onTime) {
        window(request)[1] += request.kind.priorityWeight();
      }
      if (request.kind.write() && random.nextDouble() < behavior.readBackFraction()) {
        readBack(request);
      }
      finish(
          request,
          outcomes -> {
            outcomes.onTime += onTime ? 1 : 0;
            outcomes.late += onTime ? 0 : 1;
            outcomes.valueServed += onTime ? request.kind.priorityWeight() : 0;
          });
    }
    if (random.nextDouble() < behavior.reconnectFraction()) {
      connection.expectNoAnswer();
      connection.close();
      replaceConnection(connection);
    } else {
      useConnection(connection);
    }
  }

  private void readBack(Request write) {
    long due = transport.clock().nowMicros() + random.nextLong(READ_BACK_MICROS);
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
    if (result.malformedResponses.size() < MAX_RECORDED_MALFORMED) {
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
    // What no connection came to in its time has had no answer.
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
