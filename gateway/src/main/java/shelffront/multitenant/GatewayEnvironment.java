package shelffront.multitenant;

import java.io.IOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;
import shelffront.net.Channels;

/**
 * The environment of a multi-tenant gateway: the machine's clock and sockets, or simulated ones.
 *
 * @param clock current time in Unix microseconds
 * @param channels creates the channels of the event loops
 * @param seed random seed of the routers
 */
public record GatewayEnvironment(LongSupplier clock, ChannelsFactory channels, long seed) {

  /** Creates channels. */
  public interface ChannelsFactory {

    /** Returns channels whose completion handlers run on this number of threads. */
    Channels open(int threads) throws IOException;
  }

  /** Returns an environment with the clock and sockets of this machine. */
  public static GatewayEnvironment machine() {
    return new GatewayEnvironment(
        () -> ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
        Channels::sockets,
        System.nanoTime());
  }
}
