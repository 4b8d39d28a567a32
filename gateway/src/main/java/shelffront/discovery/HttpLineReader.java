package shelffront.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.function.Consumer;
import shelffront.config.MalformedInputException;

/**
 * Incremental parser of an HTTP/1.1 response that passes on each line of its body. The body may be
 * chunked, have a content length, or end with the connection. Input may be split anywhere.
 */
final class HttpLineReader {

  private static final int MAX_LINE_BYTES = 256 * 1024;

  private static final String CONTENT_LENGTH = "content-length:";

  /** Offset of the status code in the status line. */
  private static final int STATUS_START = "HTTP/1.1 ".length();

  private static final int STATUS_END = STATUS_START + 3;
  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;

  private enum State {
    STATUS,
    HEADER,
    CHUNK_SIZE,
    BODY,
    CHUNK_END,
    END
  }

  private final Consumer<String> lineConsumer;

  /** The received part of the current body line, which may span chunks. */
  private final ByteArrayOutputStream bodyLine = new ByteArrayOutputStream();

  /** The received part of the current status, header or chunk size line. */
  private final ByteArrayOutputStream protocolLine = new ByteArrayOutputStream();

  private State state = State.STATUS;
  private int status;
  private boolean chunked;
  private long bytesLeft = Long.MAX_VALUE;

  HttpLineReader(Consumer<String> lineConsumer) {
    this.lineConsumer = lineConsumer;
  }

  /** The status code of the response; 0 before it is received. */
  int status() {
    return status;
  }

  /** Whether the status line and all headers have been received. */
  boolean hasHeaders() {
    return state != State.STATUS && state != State.HEADER;
  }

  boolean isComplete() {
    return state == State.END;
  }

  /** Ends the response; passes on a last body line that has no line end. */
  private void finish() {
    if (bodyLine.size() > 0) {
      lineConsumer.accept(bodyLine.toString(UTF_8));
    }
    bodyLine.reset();
    state = State.END;
  }

  void parse(ByteBuffer in) throws MalformedInputException {
    while (in.hasRemaining() && state != State.END) {
      byte nextByte = in.get();
      boolean inBody = state == State.BODY;
      bytesLeft -= inBody ? 1 : 0;
      ByteArrayOutputStream target = inBody ? bodyLine : protocolLine;
      if (nextByte != '\n') {
        target.write(nextByte);
        if (target.size() > MAX_LINE_BYTES) {
          throw new MalformedInputException("line exceeds " + MAX_LINE_BYTES + " bytes");
        }
      } else if (inBody) {
        lineConsumer.accept(bodyLine.toString(UTF_8));
        bodyLine.reset();
      } else {
        String text = protocolLine.toString(ISO_8859_1).strip();
        protocolLine.reset();
        onProtocolLine(text);
      }
      if (state == State.BODY && bytesLeft == 0) {
        onBodyPartEnd();
      }
    }
  }

  private void onBodyPartEnd() {
    if (chunked) {
      state = State.CHUNK_END;
    } else {
      finish();
    }
  }

  private void onProtocolLine(String text) throws MalformedInputException {
    switch (state) {
      case STATUS -> {
        if (!text.matches("HTTP/1\\.[01] [0-9]{3}.*")) {
          throw new MalformedInputException(
              "expected an HTTP/1.x status line, got a line of " + text.length() + " characters");
        }
        status = Integer.parseInt(text.substring(STATUS_START, STATUS_END));
        state = State.HEADER;
      }
      case HEADER -> onHeaderLine(text.toLowerCase(Locale.ROOT));
      case CHUNK_SIZE -> {
        bytesLeft = parseLength(text.split(";", 2)[0].strip(), HEXADECIMAL);
        state = State.BODY;
        if (bytesLeft == 0) {
          finish();
        }
      }
      case CHUNK_END -> state = State.CHUNK_SIZE;
      default -> throw new MalformedInputException("unexpected protocol line in state " + state);
    }
  }

  private void onHeaderLine(String text) throws MalformedInputException {
    if (text.startsWith("transfer-encoding:") && text.endsWith("chunked")) {
      chunked = true;
    } else if (text.startsWith(CONTENT_LENGTH)) {
      bytesLeft = parseLength(text.substring(CONTENT_LENGTH.length()).strip(), DECIMAL);
    } else if (text.isEmpty()) {
      state = chunked ? State.CHUNK_SIZE : State.BODY;
      if (!chunked && bytesLeft == 0) {
        finish();
      }
    }
  }

  private static long parseLength(String text, int radix) throws MalformedInputException {
    if (!text.matches(radix == HEXADECIMAL ? "[0-9A-Fa-f]{1,7}" : "[0-9]{1,9}")) {
      throw new MalformedInputException(
          "invalid "
              + (radix == HEXADECIMAL ? "hexadecimal chunk size: " : "content length: ")
              + text);
    }
    return Long.parseLong(text, radix);
  }
}
