package shelffront.pg;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** A message of the PostgreSQL wire protocol, version 3: its type and the body after the length. */
public record Message(char type, byte[] body) {

  /** Fits the text form of a 64 KiB value and the statement around it. */
  public static final int MAX_BYTES = 192 * 1024;

  /** Limit of a row from a host. The shared memory budget bounds all buffered rows together. */
  public static final int MAX_ROW_BYTES = 512 * 1024;

  public static final int PROTOCOL_3 = 3;
  public static final int CANCEL_REQUEST = 80877102;
  public static final int SSL_REQUEST = 80877103;
  public static final int GSS_REQUEST = 80877104;

  private static final int MAX_STARTUP_BYTES = 10_000;

  /** Size of the length field, which includes itself in the length. */
  private static final int LENGTH_BYTES = 4;

  /** Size of the type and the length before a body. */
  private static final int HEADER_BYTES = 1 + LENGTH_BYTES;

  /** Size of the length and the code of a startup message. */
  private static final int MIN_STARTUP_BYTES = LENGTH_BYTES + Integer.BYTES;

  /** Size of the column count that precedes the columns of a RowDescription or a DataRow. */
  private static final int COLUMN_COUNT_BYTES = Short.BYTES;

  /** Size of the fields that follow a column's name in a RowDescription. */
  private static final int COLUMN_DESCRIPTION_BYTES = 18;

  private static final int COLUMN_VALUE_OFFSET = COLUMN_COUNT_BYTES + LENGTH_BYTES;
  private static final int BYTE_MASK = 0xff;
  private static final int MAJOR_VERSION_SHIFT = 16;
  private static final byte[] CLEARTEXT_PASSWORD = {0, 0, 0, 3};

  /**
   * Reads the next complete message, or returns null if more bytes are needed. Type and length are
   * checked as soon as they arrive, so that invalid input is rejected without waiting for its body.
   */
  public static Message readNext(ByteBuffer in, String types, int maxLength)
      throws ProtocolException {
    int size = nextSize(in, types, maxLength);
    if (size < 0 || in.remaining() < size) {
      return null;
    }
    char type = (char) (in.get() & BYTE_MASK);
    return new Message(type, readBody(in, size - 1));
  }

  /**
   * Returns the size in bytes of the next message with its header, which may be incomplete, or -1
   * if more bytes of the header are needed. Checks type and length.
   */
  public static int nextSize(ByteBuffer in, String types, int maxLength) throws ProtocolException {
    if (in.hasRemaining() && types.indexOf(in.get(in.position()) & BYTE_MASK) < 0) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION,
          "unknown message type " + (in.get(in.position()) & BYTE_MASK));
    }
    if (in.remaining() < HEADER_BYTES) {
      return -1;
    }
    int length = in.getInt(in.position() + 1);
    if (length < LENGTH_BYTES || length >= maxLength) {
      throw new ProtocolException(
          length < LENGTH_BYTES ? SqlState.PROTOCOL_VIOLATION : SqlState.PROGRAM_LIMIT_EXCEEDED,
          "message length " + length);
    }
    return 1 + length;
  }

  /**
   * Reads the first message of a connection, which has no type but starts with a version or request
   * code. Returns null if more bytes are needed.
   */
  public static Message readStartup(ByteBuffer in) throws ProtocolException {
    if (in.remaining() < LENGTH_BYTES) {
      return null;
    }
    int length = in.getInt(in.position());
    if (length < MIN_STARTUP_BYTES || length > MAX_STARTUP_BYTES) {
      throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "startup length " + length);
    }
    return in.remaining() < length ? null : new Message('\0', readBody(in, length));
  }

  private static byte[] readBody(ByteBuffer in, int length) {
    in.getInt();
    byte[] body = new byte[length - LENGTH_BYTES];
    in.get(body);
    return body;
  }

  /** Returns the message in its wire format. */
  public byte[] bytes() {
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .put((byte) type)
        .putInt(LENGTH_BYTES + body.length)
        .put(body)
        .array();
  }

  /** The major protocol version that a startup message requests. */
  public int majorVersion() {
    return code() >> MAJOR_VERSION_SHIFT;
  }

  /** The first 32 bits of the body, such as a startup code; -1 if the body is shorter. */
  public int code() {
    return body.length < LENGTH_BYTES ? -1 : ByteBuffer.wrap(body).getInt();
  }

  /** The zero-terminated text at this offset; an unterminated text ends with the body. */
  public String stringAt(int offset) {
    int start = Math.min(offset, body.length);
    return new String(body, start, endOfString(start) - start, ISO_8859_1);
  }

  /** The offset of the zero byte that terminates the text at this offset, or of the body's end. */
  int endOfString(int offset) {
    int end = Math.min(offset, body.length);
    while (end < body.length && body[end] != 0) {
      end++;
    }
    return end;
  }

  /** Reads a body that consists of exactly this number of zero-terminated texts. */
  public String[] readStrings(int count) throws ProtocolException {
    String[] texts = new String[count];
    int offset = 0;
    for (int i = 0; i < count; i++) {
      texts[i] = stringAt(offset);
      offset += texts[i].length() + 1;
    }
    requireValidBody(offset == body.length);
    return texts;
  }

  /** The fields of an ErrorResponse or NoticeResponse by their type letter. */
  public Map<Character, String> errorFields() throws ProtocolException {
    Map<Character, String> fields = new HashMap<>();
    int offset = 0;
    while (offset < body.length && body[offset] != 0) {
      String value = stringAt(offset + 1);
      fields.put((char) (body[offset] & BYTE_MASK), value);
      offset += 2 + value.length();
    }
    requireValidBody(offset == body.length - 1);
    return fields;
  }

  /** Checks for a RowDescription with one column: its name, then 18 bytes on table and type. */
  public void requireSingleColumnDescription() throws ProtocolException {
    requireValidBody(
        body.length > COLUMN_COUNT_BYTES
            && ByteBuffer.wrap(body).getShort() == 1
            && COLUMN_COUNT_BYTES
                    + stringAt(COLUMN_COUNT_BYTES).length()
                    + 1
                    + COLUMN_DESCRIPTION_BYTES
                == body.length);
  }

  /** The single column of a DataRow as text; null if its value is null. */
  public String singleColumnValue() throws ProtocolException {
    requireValidBody(body.length >= COLUMN_VALUE_OFFSET && ByteBuffer.wrap(body).getShort() == 1);
    int length = ByteBuffer.wrap(body).getInt(COLUMN_COUNT_BYTES);
    requireValidBody(Math.max(length, 0) == body.length - COLUMN_VALUE_OFFSET && length >= -1);
    return length < 0 ? null : new String(body, COLUMN_VALUE_OFFSET, length, ISO_8859_1);
  }

  private void requireValidBody(boolean isValid) throws ProtocolException {
    if (!isValid) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION,
          "malformed body of message type '" + type + "', " + body.length + " bytes");
    }
  }

  /** Encodes a StartupMessage of version 3. */
  public static byte[] startup(String user, String database) {
    byte[] parameters = ("user\0" + user + "\0database\0" + database + "\0\0").getBytes(UTF_8);
    return ByteBuffer.allocate(MIN_STARTUP_BYTES + parameters.length)
        .putInt(MIN_STARTUP_BYTES + parameters.length)
        .putInt(PROTOCOL_3 << MAJOR_VERSION_SHIFT)
        .put(parameters)
        .array();
  }

  /** Encodes a Query message of the simple query protocol. */
  public static byte[] query(byte[] statement) {
    return ByteBuffer.allocate(HEADER_BYTES + statement.length + 1)
        .put((byte) 'Q')
        .putInt(LENGTH_BYTES + statement.length + 1)
        .put(statement)
        .put((byte) 0)
        .array();
  }

  /** Encodes an AuthenticationCleartextPassword message. */
  public static byte[] authenticationCleartextPassword() {
    return new Message('R', CLEARTEXT_PASSWORD).bytes();
  }

  public static byte[] authenticationOk() {
    return new Message('R', new byte[Integer.BYTES]).bytes();
  }

  public static byte[] parameterStatus(String name, String value) {
    return new Message('S', (name + '\0' + value + '\0').getBytes(UTF_8)).bytes();
  }

  public static byte[] readyForQuery() {
    return new Message('Z', new byte[] {'I'}).bytes();
  }

  public static byte[] emptyQueryResponse() {
    return new Message('I', new byte[0]).bytes();
  }

  /** Encodes an ErrorResponse; the detail may be null. */
  public static byte[] error(boolean fatal, SqlState sqlState, String text, String detail) {
    return error(fatal, sqlState.code(), text, detail);
  }

  /** Encodes an ErrorResponse with any SQLSTATE code; the detail may be null. */
  public static byte[] error(boolean fatal, String code, String text, String detail) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String severity = fatal ? "FATAL" : "ERROR";
    body.writeBytes(
        ("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + text + "\0").getBytes(UTF_8));
    if (detail != null) {
      body.writeBytes(("D" + detail + "\0").getBytes(UTF_8));
    }
    body.write(0);
    return new Message('E', body.toByteArray()).bytes();
  }
}
