package shelffront.lab.simulation;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.apache.commons.rng.UniformRandomProvider;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.Transport;
import shelffront.pg.Message;

/**
 * A client that violates the protocol. Depending on a random draw it sends random bytes, truncated
 * or corrupted messages, or nothing, and disconnects within 1.5 s.
 */
final class MisbehavingClientHandler extends ConnectionHandler {

  private static final long MAX_CONNECTION_MICROS = 1_500_000;

  MisbehavingClientHandler(
      Transport transport, InetSocketAddress gateway, UniformRandomProvider random) {
    connection = transport.connect(gateway, this);
    byte[] startup = Message.startup("api", "ledger");
    byte[] query =
        Message.query("/* id=rude,c=map-read,d=1000,cluster=1 */ SELECT 1".getBytes(ISO_8859_1));
    switch (random.nextInt(7)) {
      case 0 -> send(randomBytes(random, 1 + random.nextInt(300)));
      case 1 -> send(truncated(startup, random));
      case 2 -> {
        send(startup);
        send(randomBytes(random, 1 + random.nextInt(2000)));
      }
      case 3 -> {
        send(startup);
        send(truncated(query, random));
      }
      case 4 -> { // a flipped bit in the message length
        send(startup);
        byte[] corrupted = query.clone();
        corrupted[1 + random.nextInt(4)] ^= (byte) (1 << random.nextInt(8));
        send(corrupted);
      }
      case 5 -> { // one corrupted byte at a random position
        send(startup);
        byte[] corrupted = query.clone();
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
        send(corrupted);
      }
      default -> send(new byte[0]);
    }
    long connectedMicros = random.nextLong(MAX_CONNECTION_MICROS);
    transport.clock().after(connectedMicros, random.nextBoolean() ? this::reset : this::close);
  }

  private static byte[] randomBytes(UniformRandomProvider random, int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] truncated(byte[] message, UniformRandomProvider random) {
    byte[] prefix = new byte[random.nextInt(message.length)];
    System.arraycopy(message, 0, prefix, 0, prefix.length);
    return prefix;
  }

  @Override
  protected void received(ByteBuffer bytes) {
    bytes.position(bytes.limit());
  }

  @Override
  protected void ended(boolean reset) {}
}
