package shelffront.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.TransportConnection;
import shelffront.lab.virtual.VirtualNetwork;
import shelffront.lab.virtual.VirtualTimeScheduler;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/** Tests the load generator on the virtual network against a scripted server. */
class OpenLoopLoadTest {

  private static final long SECOND = 1_000_000;

  private final VirtualTimeScheduler clock = new VirtualTimeScheduler(1_000 * SECOND);
  private final VirtualNetwork net =
      new VirtualNetwork(
          clock,
          RandomSource.XO_RO_SHI_RO_128_PP.create(3),
          new VirtualNetwork.Weather(200, 300, 0.3));
  private final InetSocketAddress address = net.newAddress();
  private long responseDelayMicros = 2_000;
  private String code;

  /** Responds to each query after a delay with the id of the request, or with the error set. */
  private final class Server extends ConnectionHandler {

    private boolean started;

    Server(TransportConnection connection) {
      accept(connection);
    }

    @Override
    protected void received(ByteBuffer bytes) {
      try {
        for (Message message = next(bytes); message != null; message = next(bytes)) {
          if (message.type() == 'Q') {
            String id = message.stringAt(0).replaceAll(".*id=([^,]+),.*", "$1");
            clock.after(responseDelayMicros, () -> respond(id));
          }
        }
      } catch (ProtocolException e) {
        throw new IllegalStateException(e);
      }
    }

    private Message next(ByteBuffer bytes) throws ProtocolException {
      if (!started) {
        Message startup = Message.readStartup(bytes);
        started = startup != null;
        send(started ? Message.readyForQuery() : new byte[0]);
      }
      return started ? Message.readNext(bytes, "QX", Message.MAX_BYTES) : null;
    }

    private void respond(String id) {
      if (code != null) {
        send(Message.error(false, code, "no", "100"));
      } else {
        byte[] body = new byte[6 + id.length()];
        body[1] = 1;
        body[5] = (byte) id.length();
        System.arraycopy(id.getBytes(), 0, body, 6, id.length());
        send(new Message('D', body).bytes());
      }
      send(Message.readyForQuery());
    }

    @Override
    protected void ended(boolean reset) {}
  }

  private LoadResult run(ClientBehavior behavior, double perSecond, int connections) {
    net.listen(net.machine("server"), address, Server::new);
    boolean[] ended = new boolean[1];
    OpenLoopLoad load =
        new OpenLoopLoad(
            net.transportOn(net.machine("clients")),
            address,
            "t",
            null,
            List.of(
                new RequestKind("read", false, 50, 400, 3, 1),
                new RequestKind("write", true, 50, 400, 1, 5)),
            behavior,
            perSecond,
            connections,
            11);
    load.start(4 * SECOND, () -> ended[0] = true);
    while (!ended[0] && clock.nextMicros() < Long.MAX_VALUE) {
      clock.advanceTo(clock.nextMicros());
      clock.runNext();
    }
    assertTrue(ended[0], "the load did not end");
    RequestOutcomes all = load.result().total;
    assertEquals(
        all.due,
        all.onTime + all.late + all.rejected + all.failed + all.unanswered,
        "each due request has exactly one outcome");
    assertEquals(List.of(), load.result().malformedResponses);
    return load.result();
  }

  private static ClientBehavior behavior(
      ArrivalSchedule.Pattern pattern,
      int retries,
      double reconnectFraction,
      double hangUpFraction) {
    return new ClientBehavior(pattern, 100, 2, 0.5, retries, reconnectFraction, hangUpFraction);
  }

  @ParameterizedTest
  @EnumSource(ArrivalSchedule.Pattern.class)
  void everyPatternHasMeanRateAndAscendingTimes(ArrivalSchedule.Pattern pattern) {
    ArrivalSchedule arrivals =
        new ArrivalSchedule(pattern, 500, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
    long last = 0;
    int count = 0;
    for (long at = arrivals.nextMicros(); at < 40 * SECOND; at = arrivals.nextMicros()) {
      assertTrue(at >= last, at + " us is due after " + last + " us");
      last = at;
      count++;
    }
    assertEquals(20_000, count, 600);
  }

  @Test
  void halfOfRequestsAreDueInBursts() {
    ArrivalSchedule arrivals =
        new ArrivalSchedule(
            ArrivalSchedule.Pattern.BURSTS, 1000, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
    int in = 0;
    int count = 0;
    for (long at = arrivals.nextMicros(); at < 20 * SECOND; at = arrivals.nextMicros()) {
      in += at % (2 * SECOND) < SECOND / 10 ? 1 : 0;
      count++;
    }
    assertEquals(0.5, in / (double) count, 0.03);
  }

  @Test
  void servesLoadWithinCapacityWhenClientsReconnectAndDisconnect() {
    LoadResult result = run(behavior(ArrivalSchedule.Pattern.POISSON, 0, 0.1, 0.4), 300, 20);
    assertTrue(
        result.total.due > 1_000 && result.total.disconnectedByClient > 10,
        result.total.due
            + " due, "
            + result.total.disconnectedByClient
            + " disconnected by their clients");
    assertTrue(
        result.servedValueFraction() > 0.98,
        "served value fraction " + result.servedValueFraction());
    assertEquals(
        0, result.lagMicros.getMaxValue(), "the load generator has no lag in virtual time");
  }

  /**
   * The load is twice the capacity of the connections. Latency counts from the due time, so most
   * requests are late or unanswered.
   */
  @Test
  void countsWaitForConnectionAsLatency() {
    responseDelayMicros = 20_000;
    LoadResult result = run(behavior(ArrivalSchedule.Pattern.EVEN, 0, 0, 0), 400, 4);
    assertTrue(result.waitedCount > 500, "requests that waited: " + result.waitedCount);
    assertTrue(
        result.servedValueFraction() < 0.5,
        "served value fraction " + result.servedValueFraction());
    assertTrue(result.total.unanswered > 100, "unanswered requests: " + result.total.unanswered);
    assertTrue(result.worstWindow() == 0 && result.worstKind() <= result.servedValueFraction());
  }

  @Test
  void retriesRejectedRequestsAfterRetryAfter() {
    code = "53300";
    LoadResult never = run(behavior(ArrivalSchedule.Pattern.EVEN, 2, 0, 0), 50, 20);
    assertEquals(never.total.due, never.total.rejected);
    assertEquals(0, never.latencyMicros.getTotalCount());
  }

  @Test
  void countsOtherErrorsAsFailures() {
    code = "40003";
    LoadResult result = run(behavior(ArrivalSchedule.Pattern.EVEN, 2, 0, 0), 50, 20);
    assertEquals(result.total.due, result.total.failed);
  }
}
