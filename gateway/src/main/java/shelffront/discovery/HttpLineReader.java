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

  private enum Part {
    STATUS,
    HEADER,
    CHUNK_SIZE,
    BODY,
    CHUNK_END,
    END
  }

  private final Consumer<String> lines;

  /** The received part of the current body line, which may span chunks. */
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** The received part of the current status, header or chunk size line. */
  private final ByteArrayOutputStream frame = new ByteArrayOutputStream();

  private Part part = Part.STATUS;
  private int status;
  private boolean chunked;
  private long bytesLeft = Long.MAX_VALUE;

  HttpLineReader(Consumer<String> lines) {
    this.lines = lines;
  }

  /** The status code of the response; 0 before it is received. */
  int status() {
    return status;
  }

  /** Whether the status line and all headers have been received. */
  boolean hasHeaders() {
    return part != Part.STATUS && part != Part.HEADER;
  }

  boolean ended() {
    return part == Part.END;
  }

  /** Ends the response; passes on a last body line that has no line end. */
  private void finish() {
    if (line.size() > 0) {
      lines.accept(line.toString(UTF_8));
    }
    line.reset();
    part = Part.END;
  }

  void take(ByteBuffer in) throws MalformedInputException {
    while (in.hasRemaining() && part != Part.END) {
      byte nextByte = in.get();
      boolean inBody = part == Part.BODY;
      bytesLeft -= inBody ? 1 : 0;
      ByteArrayOutputStream into = inBody ? line : frame;
      if (nextByte != '\n') {
        into.write(nextByte);
        if (into.size() > MAX_LINE_BYTES) {
          throw new MalformedInputException("a line is too long");
        }
      } else if (inBody) {
        lines.accept(line.toString(UTF_8));
        line.reset();
      } else {
        String text = frame.toString(ISO_8859_1).strip();
        frame.reset();
        protocolLine(text);
      }
      if (part == Part.BODY && bytesLeft == 0) {
        bodyPartEnds();
      }
    }
  }

  private void bodyPartEnds() {
    if (chunked) {
      part = Part.CHUNK_END;
    } else {
      finish();
    }
  }

  private void protocolLine(String text) throws MalformedInputException {
    switch (part) {
      case STATUS -> {
        if (!text.matches("HTTP/1\\.[01] [0-9]{3}.*")) {
          throw new MalformedInputException("not an HTTP answer");
        }
        status = Integer.parseInt(text.substring(STATUS_START, STATUS_END));
        part = Part.HEADER;
      }
      case HEADER -> header(text.toLowerCase(Locale.ROOT));
      case CHUNK_SIZE -> {
        bytesLeft = size(text.split(";", 2)[0].strip(), HEXADECIMAL);
        part = Part.BODY;
        if (bytesLeft == 0) {
          finish();
        }
      }
      case CHUNK_END -> part = Part.CHUNK_SIZE;
      default -> throw new MalformedInputException("a line out of place");
    }
  }

  private void header(String text) throws MalformedInputException {
    if (text.startsWith("transfer-encoding:") && text.endsWith("chunked")) {
      chunked = true;
    } else if (text.startsWith(CONTENT_LENGTH)) {
      bytesLeft = size(text.substring(CONTENT_LENGTH.length()).strip(), DECIMAL);
    } else if (text.isEmpty()) {
      part = chunked ? Part.CHUNK_SIZE : Part.BODY;
      if (!chunked && bytesLeft == 0) {
        finish();
      }
    }
  }

  private static long size(String text, int radix) throws MalformedInputException {
    if (!text.matches(radix == HEXADECIMAL ? "[0-9A-Fa-f]{1,7}" : "[0-9]{1,9}")) {
      throw new MalformedInputException("not a length: " + text);
    }
    return Long.parseLong(text, radix);
  }
}
