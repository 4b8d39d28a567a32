package shelffront.discovery;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.config.EndpointList;
import shelffront.config.JsonReader;
import shelffront.config.MalformedInputException;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.EventLoop.Deadline;
import shelffront.net.Network;

/** One call of discovery on a connection of its own. */
final class DiscoveryCall extends Connection {

  private static final int GREATEST_LIST = 256 * 1024;

  private final DiscoveryClient discovery;
  private final boolean standing;
  private final HttpLineReader answer = new HttpLineReader(this::line);
  private final StringBuilder body = new StringBuilder();
  private int depth; // of braces, in what has come of a list
  private Deadline silence;
  private boolean listCame;

  DiscoveryCall(
      Network network,
      AsynchronousSocketChannel channel,
      InetSocketAddress address,
      String request,
      boolean standing,
      DiscoveryClient discovery) {
    super(network, "discovery", channel, 64 * 1024);
    this.discovery = discovery;
    this.standing = standing;
    listen();
    write(request.getBytes(US_ASCII));
    connect(address);
  }

  /**
   * Guards against a watch whose other end vanished, and against one that trickles: only whole
   * headers and whole lines count, of a list only its last.
   */
  private void listen() {
    if (silence != null) {
      silence.cancel();
    }
    silence =
        network
            .loop()
            .scheduleAfter(DiscoveryClient.SILENCE_TIMEOUT_MICROS, () -> end(CloseReason.SILENT));
  }

  /**
   * Ends it, once what was read in this moment has been looked at: a list that has come counts as
   * told.
   */
  void end(CloseReason reason) {
    if (hasUnprocessedInput()) {
      network.post(() -> end(reason));
    } else {
      close(reason);
    }
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    boolean before = answer.hasHeaders();
    try {
      answer.take(bytes);
    } catch (MalformedInputException e) {
      network.log().println("discovery: " + e.getMessage());
      close(CloseReason.BAD_ANSWER);
      return;
    }
    if (isClosed()) {
      return;
    }
    if (answer.hasHeaders() && answer.status() != 200) {
      close(CloseReason.ANSWERED); // a refusal: what it says beside that may never end
      return;
    }
    if (answer.hasHeaders() && !before) {
      listen();
    }
    if (answer.ended()) {
      finish(CloseReason.ANSWERED);
    }
  }

  private void line(String text) {
    if (answer.status() != 200 || isClosed()) {
      return;
    }
    if (body.length() + text.length() > GREATEST_LIST) {
      network.log().println("discovery: a list is too long");
      close(CloseReason.BAD_ANSWER);
      return;
    }
    if (!standing) {
      body.append(text).append('\n');
      return;
    }
    // A list may be indented, over several lines; it has come when its first brace is closed.
    depth += depth(text);
    if (body.length() > 0 || !text.isBlank()) {
      body.append(text).append('\n');
    }
    if (depth <= 0) {
      listen();
      if (body.length() > 0) {
        String whole = body.toString();
        body.setLength(0);
        depth = 0;
        list(whole);
      }
    }
  }

  /**
   * By how much the braces of a line open more than they close; those within texts, which end on
   * their line, not.
   */
  private static int depth(String line) {
    int depth = 0;
    boolean inText = false;
    for (int i = 0; i < line.length(); i++) {
      char c = line.charAt(i);
      if (inText && c == '\\') {
        i++;
      } else if (c == '"') {
        inText = !inText;
      } else if (!inText && (c == '{' || c == '}')) {
        depth += c == '{' ? 1 : -1;
      }
    }
    return depth;
  }

  private void list(String text) {
    EndpointList list;
    try {
      list = EndpointList.read(JsonReader.parseObject(text));
    } catch (MalformedInputException e) {
      network.log().println("discovery: " + e.getMessage());
      close(CloseReason.BAD_ANSWER);
      return;
    }
    listCame = true;
    discovery.onEndpointList(list);
  }

  private void finish(CloseReason reason) {
    if (!standing && answer.status() == 200) {
      list(body.toString());
    }
    close(reason);
  }

  @Override
  protected void onClosed(CloseReason reason) {
    silence.cancel();
    discovery.onCallClosed(this, standing, listCame);
  }

  @Override
  protected String describe() {
    return (standing ? "watch" : "fetch") + " status=" + answer.status();
  }
}
