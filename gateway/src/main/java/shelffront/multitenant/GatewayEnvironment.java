package shelffront.multitenant;

import java.io.IOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;
import shelffront.net.Channels;

/**
 * What a hosted gateway stands on: the machine, or what someone else keeps in its place.
 *
 * @param clock Unix microseconds
 * @param seed of what its modules draw
 */
public record GatewayEnvironment(LongSupplier clock, Source channels, long seed) {

  /** Where channels come from, whose completions run on so many threads. */
  public interface Source {

    Channels on(int threads) throws IOException;
  }

  /** The machine's clock and sockets. */
  public static GatewayEnvironment machine() {
    return new GatewayEnvironment(
        () -> ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
        Channels::sockets,
        System.nanoTime());
  }
}
