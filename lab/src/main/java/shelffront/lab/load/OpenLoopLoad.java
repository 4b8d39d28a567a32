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
public final class OpenLoopLoad implements ClientConnectionHandler.Caller<OpenLoopLoad.Request> {

  /**
   * A class of requests.
   *
   * @param aimMs after which an answer is late
   * @param giveUpMs after which it is worth nothing and its client has gone
   * @param share of the requests, beside the other kinds' shares
   * @param worth of an answer on time
   */
  public record Kind(
      String name, boolean write, int aimMs, int giveUpMs, double share, double worth) {

    public Kind(String name, boolean write, int aimMs, int giveUpMs) {
      this(name, write, aimMs, giveUpMs, 1, 1);
    }
  }

  /**
   * What clients are like beside what they ask.
   *
   * @param arrivals how requests come
   * @param sessions among which requests are spread
   * @param skew 1 for evenly, more for some that are much busier than others
   * @param readBack part of the served writes that are read soon after, by the first kind that
   *     reads
   * @param retries how often one that was refused comes back, when it was told to
   * @param roam part of the answers after which a client leaves and connects anew
   * @param hangUp part of the requests whose client leaves before the answer
   */
  public record Habits(
      ArrivalSchedule.Pattern arrivals,
      int sessions,
      double skew,
      double readBack,
      int retries,
      double roam,
      double hangUp) {

    /** Even arrivals of clients that ask once and wait. */
    public static final Habits PLAIN = new Habits(ArrivalSchedule.Pattern.EVEN, 997, 1, 0, 0, 0, 0);
  }

  /** One request under way. */
  public static final class Request {

    private final Kind kind;
    private final String id;
    private final String session;
    private final long due;
    private int tries;

    private Request(Kind kind, String id, String session, long due) {
      this.kind = kind;
      this.id = id;
      this.session = session;
      this.due = due;
    }
  }

  /**
   * What became of the requests of a class, or of all. Each due one ends as exactly one of the
   * others.
   */
  public static final class Tally {

    public long due;
    public long onTime;
    public long late;
    public long refused;
    public long failed;

    /** No answer, or a connection that ended without one. */
    public long unanswered;

    /** Its client left by itself; not part of what was due. */
    public long hungUp;

    private double worthDue;
    private double worthOnTime;

    /** Worth answered on time over worth asked for. */
    public double worthKept() {
      return worthDue == 0 ? 1 : worthOnTime / worthDue;
    }
  }

  /** What became of a load. */
  public static final class Result {

    public final Tally all = new Tally();
    public final Map<String, Tally> kinds = new LinkedHashMap<>();

    /** Worth due and worth served on time in each {@link #WINDOW}. */
    public final List<double[]> windows = new ArrayList<>();

    /** Microseconds from due to the end of an answer that served. */
    public final Histogram served = new Histogram(60_000_000L, 3);

    /**
     * Microseconds from due until the load itself came to the request: how far the tool lagged
     * behind.
     */
    public final Histogram lag = new Histogram(60_000_000L, 3);

    /** Requests that waited because every connection was busy. */
    public long waited;

    /** Answers with another's value, to nothing, or unreadable. */
    public final List<String> wrong = new ArrayList<>();

    public double worthKept() {
      return all.worthKept();
    }

    public double worstWindow() {
      return windows.stream().filter(w -> w[0] > 0).mapToDouble(w -> w[1] / w[0]).min().orElse(1);
    }

    public double worstKind() {
      return kinds.values().stream().mapToDouble(Tally::worthKept).min().orElse(1);
    }
  }

  /** Microseconds of a window in which worth is counted. */
  public static final long WINDOW = 250_000;

  private static final int MOST_WAITING = 100_000;
  private static final int MOST_WRONG = 20;
  private static final long CONNECT_TIME = 5_000_000;
  private static final long RECONNECT = 50_000;
  private static final long HEAD_START = 50_000;
  private static final long SOON = 20_000;

  private final Transport carrier;
  private final InetSocketAddress gateway;
  private final String tenant;
  private final String password;
  private final List<Kind> kinds;
  private final Habits habits;
  private final double perSecond;
  private final int most;
  private final UniformRandomProvider random;
  private final Set<ClientConnectionHandler<Request>> connections = new LinkedHashSet<>();
  private final ArrayDeque<ClientConnectionHandler<Request>> free = new ArrayDeque<>();
  private final ArrayDeque<Request> waiting = new ArrayDeque<>();
  private final Result result = new Result();
  private ArrivalSchedule arrivals;
  private Runnable whenOver;
  private boolean begun;
  private boolean over;
  private long start;
  private long end;
  private long count;
  private long open;

  /**
   * Kinds at least one; the password is null where none is asked for. Everything drawn follows from
   * the seed.
   */
  public OpenLoopLoad(
      Transport carrier,
      InetSocketAddress gateway,
      String tenant,
      String password,
      List<Kind> kinds,
      Habits habits,
      double perSecond,
      int connections,
      long seed) {
    this.carrier = carrier;
    this.gateway = gateway;
    this.tenant = tenant;
    this.password = password;
    this.kinds = List.copyOf(kinds);
    this.habits = habits;
    this.perSecond = perSecond;
    most = connections;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    kinds.forEach(k -> result.kinds.put(k.name(), new Tally()));
  }

  /**
   * Runs on sockets for so long and ends by itself; what is due then has had its answer or its
   * time.
   */
  public static Result run(
      InetSocketAddress gateway,
      String tenant,
      String password,
      List<Kind> kinds,
      Habits habits,
      double perSecond,
      int connections,
      double seconds)
      throws InterruptedException, IOException {
    try (SocketTransport carrier = new SocketTransport("load " + tenant)) {
      OpenLoopLoad load =
          new OpenLoopLoad(
              carrier,
              gateway,
              tenant,
              password,
              kinds,
              habits,
              perSecond,
              connections,
              tenant.hashCode());
      CountDownLatch over = new CountDownLatch(1);
      carrier.post(() -> load.start((long) (seconds * 1e6), over::countDown));
      carrier.await(over);
      return load.result;
    }
  }

  /**
   * Connects, then plays for so many microseconds; told once every request that was due has ended.
   */
  public void start(long length, Runnable whenOver) {
    this.whenOver = whenOver;
    arrivals = new ArrivalSchedule(habits.arrivals(), perSecond, random);
    for (int i = 0; i < most; i++) {
      connect();
    }
    // What connecting costs is not what is measured here: the clock starts once all had their try.
    long latest = carrier.clock().now() + CONNECT_TIME;
    carrier.clock().at(latest, () -> begin(length));
    awaitWelcome(length);
  }

  public Result result() {
    return result;
  }

  private void awaitWelcome(long length) {
    if (free.size() >= connections.size()) {
      begin(length);
    } else if (!begun) {
      carrier.clock().after(1_000, () -> awaitWelcome(length));
    }
  }

  private void begin(long length) {
    if (begun) {
      return;
    }
    begun = true;
    start = carrier.clock().now() + HEAD_START;
    end = start + length;
    arrive();
    long last = kinds.stream().mapToLong(Kind::giveUpMs).max().orElse(0) * 1000;
    carrier.clock().at(end + last + CONNECT_TIME, this::end);
  }

  private void arrive() {
    long due = start + arrivals.next();
    if (due >= end) {
      carrier.clock().at(end, this::endIfDone);
      return;
    }
    carrier
        .clock()
        .at(
            due,
            () -> {
              arrive();
              result.lag.recordValue(Math.max(0, carrier.clock().now() - due));
              int session =
                  (int) (habits.sessions() * Math.pow(random.nextDouble(), habits.skew()));
              ask(new Request(kind(), tenant + "-" + count++, "h" + session, due));
            });
  }

  private Kind kind() {
    double lot = random.nextDouble() * kinds.stream().mapToDouble(Kind::share).sum();
    for (Kind k : kinds) {
      lot -= k.share();
      if (lot < 0) {
        return k;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void connect() {
    if (connections.size() < most && !over) {
      connections.add(
          new ClientConnectionHandler<>(carrier, gateway, tenant, tenant, password, this));
    }
  }

  // ---- A request
  // --------------------------------------------------------------------------------

  private void ask(Request r) {
    open++;
    due(r, 1);
    send(r);
  }

  /** Counts a request as due, or, with -1, as not due after all. */
  private void due(Request r, int sign) {
    for (Tally t : tallies(r)) {
      t.due += sign;
      t.worthDue += sign * r.kind.worth();
    }
    window(r)[0] += sign * r.kind.worth();
  }

  private Tally[] tallies(Request r) {
    return new Tally[] {result.all, result.kinds.get(r.kind.name())};
  }

  private double[] window(Request r) {
    int index = (int) ((r.due - start) / WINDOW);
    while (result.windows.size() <= index) {
      result.windows.add(new double[2]);
    }
    return result.windows.get(index);
  }

  private long giveUpAt(Request r) {
    return r.due + r.kind.giveUpMs() * 1000L;
  }

  private void send(Request r) {
    ClientConnectionHandler<Request> connection = free.poll();
    while (connection != null && !connection.isFree()) {
      connection = free.poll();
    }
    if (connection == null) {
      result.waited++;
      if (waiting.size() >= MOST_WAITING) {
        ended(r, t -> t.unanswered++);
      } else {
        waiting.add(r);
      }
      return;
    }
    long left = (giveUpAt(r) - carrier.clock().now()) / 1000;
    if (left <= 0) {
      free.push(connection);
      ended(r, t -> t.unanswered++);
      return;
    }
    r.tries++;
    connection.ask(
        r,
        ClientConnectionHandler.statement(
            r.id + (r.tries > 1 ? "." + r.tries : ""),
            r.kind.name(),
            left,
            r.id,
            1,
            r.session,
            r.kind.write()),
        giveUpAt(r));
    if (habits.hangUp() > 0 && random.nextDouble() < habits.hangUp()) {
      ClientConnectionHandler<Request> hanging = connection;
      carrier
          .clock()
          .after(
              1 + random.nextInt(r.kind.aimMs() * 1000),
              () -> {
                if (hanging.current() == r) {
                  hanging.hangUp();
                  due(r, -1);
                  ended(r, t -> t.hungUp++);
                  gone(hanging);
                }
              });
    }
  }

  private void ended(Request r, Consumer<Tally> how) {
    for (Tally t : tallies(r)) {
      how.accept(t);
    }
    open--;
    endIfDone();
  }

  private void next(ClientConnectionHandler<Request> connection) {
    if (connection.isFree()) {
      free.add(connection);
    }
    Request r = waiting.poll();
    if (r != null) {
      send(r);
    }
  }

  private void gone(ClientConnectionHandler<Request> connection) {
    connections.remove(connection);
    free.remove(connection);
    carrier.clock().after(RECONNECT, this::connect);
  }

  // ---- What connections tell
  // --------------------------------------------------------------------------------

  @Override
  public void welcomed(ClientConnectionHandler<Request> by) {
    next(by);
  }

  @Override
  public void answered(
      ClientConnectionHandler<Request> by, Request r, String value, String code, long retryAfter) {
    long now = carrier.clock().now();
    long took = now - r.due;
    if (code != null) {
      boolean refused = code.equals("53300") || code.equals("57P03");
      long again = now + Math.max(RECONNECT, retryAfter);
      if (refused && r.tries <= habits.retries() && again < giveUpAt(r)) {
        carrier.clock().at(again, () -> send(r));
      } else {
        ended(
            r,
            t -> {
              t.refused += refused ? 1 : 0;
              t.failed += refused ? 0 : 1;
            });
      }
    } else if (value == null || !value.startsWith(r.id)) {
      malformed(r.id + " was answered with " + value);
      ended(r, t -> t.failed++);
    } else {
      boolean onTime = took <= r.kind.aimMs() * 1000L;
      result.served.recordValue(
          Math.max(0, Math.min(took, result.served.getHighestTrackableValue())));
      if (onTime) {
        window(r)[1] += r.kind.worth();
      }
      if (r.kind.write() && random.nextDouble() < habits.readBack()) {
        readBack(r);
      }
      ended(
          r,
          t -> {
            t.onTime += onTime ? 1 : 0;
            t.late += onTime ? 0 : 1;
            t.worthOnTime += onTime ? r.kind.worth() : 0;
          });
    }
    if (random.nextDouble() < habits.roam()) {
      by.asksNothing();
      by.close();
      gone(by);
    } else {
      next(by);
    }
  }

  private void readBack(Request write) {
    long due = carrier.clock().now() + random.nextLong(SOON);
    kinds.stream()
        .filter(k -> !k.write())
        .findFirst()
        .ifPresent(
            kind ->
                carrier
                    .clock()
                    .at(
                        due,
                        () -> {
                          if (due < end) {
                            ask(new Request(kind, tenant + "-" + count++, write.session, due));
                          }
                        }));
  }

  @Override
  public void late(ClientConnectionHandler<Request> by, Request r) {
    ended(r, t -> t.unanswered++);
    gone(by);
  }

  @Override
  public void left(ClientConnectionHandler<Request> by, Request r, boolean reset) {
    if (r != null) {
      ended(r, t -> t.unanswered++);
    }
    gone(by);
  }

  @Override
  public void malformed(String why) {
    if (result.wrong.size() < MOST_WRONG) {
      result.wrong.add(why);
    }
  }

  private void endIfDone() {
    if (begun && open == 0 && carrier.clock().now() >= end) {
      end();
    }
  }

  private void end() {
    if (over) {
      return;
    }
    over = true;
    // What no connection came to in its time has had no answer.
    for (Request r = waiting.poll(); r != null; r = waiting.poll()) {
      ended(r, t -> t.unanswered++);
    }
    for (ClientConnectionHandler<Request> c : List.copyOf(connections)) {
      c.asksNothing();
      c.close();
    }
    whenOver.run();
  }
}
