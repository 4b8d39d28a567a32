package review.common;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection to a gateway, as the protocol page describes it. */
public final class Client implements AutoCloseable {

  /** What came back for one request. */
  public record Answer(String kind, String value, long micros) {}

  /** Far beyond the time of any request; keeps a test from waiting for ever. */
  private static final int TIMEOUT_MILLIS = 10_000;

  private final Socket socket;
  private final DataInputStream in;

  public Client(int port) throws IOException {
    socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
    socket.getOutputStream().write(Wire.startup());
    while (Wire.read(in).type() != 'Z') {
      continue;
    }
  }

  /** Writes a statement; returns when its last byte is written. */
  public void send(String statement) throws IOException {
    socket.getOutputStream().write(Wire.query(statement));
    socket.getOutputStream().flush();
  }

  /** Reads one answer up to ReadyForQuery. */
  public Answer receive() throws IOException {
    String kind = "empty";
    String value = "";
    while (true) {
      Wire.Message message = Wire.read(in);
      switch (message.type()) {
        case 'D' -> {
          kind = "served";
          value = Wire.text(message.body(), message.body().length).substring(6);
        }
        case 'E' -> {
          value = message.field('C');
          kind = value.equals("53300") || value.equals("57P03") ? "refused" : "failed";
          if (message.field('S').equals("FATAL")) {
            return new Answer(kind, value, Clock.micros());
          }
        }
        case 'Z' -> {
          return new Answer(kind, value, Clock.micros());
        }
        default -> {}
      }
    }
  }

  public Answer call(String statement) throws IOException {
    send(statement);
    return receive();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
