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

/** The load by itself, on the virtual network, before a server that does as it is told. */
class OpenLoopLoadTest {

  private static final long SECOND = 1_000_000;

  private final VirtualTimeScheduler clock = new VirtualTimeScheduler(1_000 * SECOND);
  private final VirtualNetwork net =
      new VirtualNetwork(
          clock,
          RandomSource.XO_RO_SHI_RO_128_PP.create(3),
          new VirtualNetwork.Weather(200, 300, 0.3));
  private final InetSocketAddress address = net.newAddress();
  private long serverTakes = 2_000;
  private String code;

  /** Takes each query for a while, then answers with its id, or the error that is set. */
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
            clock.after(serverTakes, () -> answer(id));
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

    private void answer(String id) {
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

  private LoadResult play(ClientBehavior behavior, double perSecond, int connections) {
    net.listen(net.machine("server"), address, Server::new);
    boolean[] over = new boolean[1];
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
    load.start(4 * SECOND, () -> over[0] = true);
    while (!over[0] && clock.nextMicros() < Long.MAX_VALUE) {
      clock.advanceTo(clock.nextMicros());
      clock.runNext();
    }
    assertTrue(over[0], "it never ended");
    RequestOutcomes all = load.result().total;
    assertEquals(
        all.due,
        all.onTime + all.late + all.rejected + all.failed + all.unanswered,
        "each has one end");
    assertEquals(List.of(), load.result().malformedResponses);
    return load.result();
  }

  private static ClientBehavior habits(
      ArrivalSchedule.Pattern pattern, int retries, double roam, double hangUp) {
    return new ClientBehavior(pattern, 100, 2, 0.5, retries, roam, hangUp);
  }

  @ParameterizedTest
  @EnumSource(ArrivalSchedule.Pattern.class)
  void keepsMeanRateAndOrderOfEveryPattern(ArrivalSchedule.Pattern pattern) {
    ArrivalSchedule arrivals =
        new ArrivalSchedule(pattern, 500, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
    long last = 0;
    int count = 0;
    for (long at = arrivals.nextMicros(); at < 40 * SECOND; at = arrivals.nextMicros()) {
      assertTrue(at >= last);
      last = at;
      count++;
    }
    assertEquals(20_000, count, 600);
  }

  @Test
  void bringsHalfOfRequestsInBursts() {
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
  void servesAllWithinCapacityWhateverClientsDo() {
    LoadResult result = play(habits(ArrivalSchedule.Pattern.POISSON, 0, 0.1, 0.4), 300, 20);
    assertTrue(
        result.total.due > 1_000 && result.total.hungUp > 10,
        result.total.due + " due, " + result.total.hungUp + " hung up");
    assertTrue(result.servedValueFraction() > 0.98, "worth kept " + result.servedValueFraction());
    assertEquals(0, result.lagMicros.getMaxValue(), "virtual time is never late");
  }

  /**
   * Twice what the connections can carry: time counts from when a request was due, so most are late
   * or lost.
   */
  @Test
  void countsWaitForConnectionAsLatency() {
    serverTakes = 20_000;
    LoadResult result = play(habits(ArrivalSchedule.Pattern.EVEN, 0, 0, 0), 400, 4);
    assertTrue(result.waitedCount > 500, "waited " + result.waitedCount);
    assertTrue(result.servedValueFraction() < 0.5, "worth kept " + result.servedValueFraction());
    assertTrue(result.total.unanswered > 100, "unanswered " + result.total.unanswered);
    assertTrue(result.worstWindow() == 0 && result.worstKind() <= result.servedValueFraction());
  }

  @Test
  void retriesRejectedRequestsAfterRetryAfter() {
    code = "53300";
    LoadResult never = play(habits(ArrivalSchedule.Pattern.EVEN, 2, 0, 0), 50, 20);
    assertEquals(never.total.due, never.total.rejected);
    assertEquals(0, never.latencyMicros.getTotalCount());
  }

  @Test
  void countsOtherErrorsAsFailures() {
    code = "40003";
    LoadResult result = play(habits(ArrivalSchedule.Pattern.EVEN, 2, 0, 0), 50, 20);
    assertEquals(result.total.due, result.total.failed);
  }
}
