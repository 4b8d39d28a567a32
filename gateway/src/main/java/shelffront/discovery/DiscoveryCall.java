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

/**
 * One call to the discovery service on its own connection: a watch, which receives endpoint lists
 * until it ends, or a fetch of a single list. Reports each list, and once its end, to {@link
 * DiscoveryClient}.
 */
final class DiscoveryCall extends Connection {

  private static final int HTTP_OK = 200;
  private static final int MAX_INPUT_BYTES = 64 * 1024;
  private static final int MAX_LIST_CHARS = 256 * 1024;

  private final DiscoveryClient discovery;
  private final boolean isWatch;
  private final int service;
  private final HttpLineReader response = new HttpLineReader(this::onLine);
  private final StringBuilder body = new StringBuilder();

  /** Number of unclosed braces in the received part of a list. */
  private int openBraces;

  private Deadline silenceDeadline;
  private boolean listReceived;

  DiscoveryCall(
      Network network,
      AsynchronousSocketChannel channel,
      InetSocketAddress address,
      String request,
      boolean isWatch,
      int service,
      DiscoveryClient discovery) {
    super(network, "discovery", channel, MAX_INPUT_BYTES);
    this.discovery = discovery;
    this.isWatch = isWatch;
    this.service = service;
    restartSilenceDeadline();
    write(request.getBytes(US_ASCII));
    connect(address);
  }

  /**
   * Guards against a peer that vanished and against one that trickles bytes. Only complete headers
   * and, on a watch, complete lines restart the deadline; of a list, only its last line does.
   */
  private void restartSilenceDeadline() {
    if (silenceDeadline != null) {
      silenceDeadline.cancel();
    }
    silenceDeadline =
        network
            .loop()
            .scheduleAfter(
                DiscoveryClient.SILENCE_TIMEOUT_MICROS, () -> endOnceProcessed(CloseReason.SILENT));
  }

  /**
   * Closes the call once input that was already read has been processed, so that a list received
   * before the end is not lost.
   */
  void endOnceProcessed(CloseReason reason) {
    if (hasUnprocessedInput()) {
      network.post(() -> endOnceProcessed(reason));
    } else {
      close(reason);
    }
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    boolean hadHeaders = response.hasHeaders();
    try {
      response.parse(bytes);
    } catch (MalformedInputException e) {
      network
          .log()
          .println("discovery: malformed response to " + callName() + ": " + e.getMessage());
      close(CloseReason.BAD_ANSWER);
      return;
    }
    if (isClosed()) {
      return;
    }
    if (response.hasHeaders() && response.status() != HTTP_OK) {
      close(CloseReason.ANSWERED); // the body of an error response may never end
      return;
    }
    if (response.hasHeaders() && !hadHeaders) {
      restartSilenceDeadline();
    }
    if (response.isComplete()) {
      finish(CloseReason.ANSWERED);
    }
  }

  private void onLine(String text) {
    if (response.status() != HTTP_OK || isClosed()) {
      return;
    }
    if (body.length() + text.length() > MAX_LIST_CHARS) {
      network
          .log()
          .println(
              "discovery: endpoint list from "
                  + callName()
                  + " exceeds "
                  + MAX_LIST_CHARS
                  + " characters");
      close(CloseReason.BAD_ANSWER);
      return;
    }
    if (!isWatch) {
      body.append(text).append('\n');
      return;
    }
    // A list may span several lines; it is complete when its first brace is closed.
    openBraces += braceBalance(text);
    if (body.length() > 0 || !text.isBlank()) {
      body.append(text).append('\n');
    }
    if (openBraces <= 0) {
      restartSilenceDeadline();
      if (body.length() > 0) {
        String listText = body.toString();
        body.setLength(0);
        openBraces = 0;
        onListText(listText);
      }
      if (!isClosed()) {
        discovery.onWatchLine(this);
      }
    }
  }

  /**
   * The number of opening braces in a line minus that of closing ones. Braces in JSON strings,
   * which never span lines, do not count.
   */
  private static int braceBalance(String line) {
    int balance = 0;
    boolean inString = false;
    for (int i = 0; i < line.length(); i++) {
      char character = line.charAt(i);
      if (inString && character == '\\') {
        i++;
      } else if (character == '"') {
        inString = !inString;
      } else if (!inString && (character == '{' || character == '}')) {
        balance += character == '{' ? 1 : -1;
      }
    }
    return balance;
  }

  private void onListText(String text) {
    EndpointList list;
    try {
      list = EndpointList.read(JsonReader.parseObject(text));
    } catch (MalformedInputException e) {
      network
          .log()
          .println("discovery: malformed endpoint list from " + callName() + ": " + e.getMessage());
      close(CloseReason.BAD_ANSWER);
      return;
    }
    listReceived = true;
    discovery.onEndpointList(list, service);
  }

  private void finish(CloseReason reason) {
    if (!isWatch && response.status() == HTTP_OK) {
      onListText(body.toString());
    }
    close(reason);
  }

  @Override
  protected void onClosed(CloseReason reason) {
    silenceDeadline.cancel();
    discovery.onCallClosed(this, isWatch, listReceived);
  }

  @Override
  protected String describe() {
    return callName() + " status=" + response.status();
  }

  private String callName() {
    return isWatch ? "watch" : "fetch";
  }
}
