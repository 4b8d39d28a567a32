package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages of PostgreSQL's protocol, version 3, as far as clients and hosts of the cases need. */
final class Pg {

  record Message(char type, byte[] body) {
    /** The field of an ErrorResponse with this letter; null if it has none. */
    String field(char letter) {
      int at = 0;
      while (at < body.length && body[at] != 0) {
        int end = at + 1;
        while (body[end] != 0) {
          end++;
        }
        if (body[at] == letter) {
          return new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
        }
        at = end + 1;
      }
      return null;
    }
  }

  private Pg() {}

  static byte[] startup(String database) {
    byte[] text = ("user\0api\0database\0" + database + "\0\0").getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(8 + text.length)
        .putInt(8 + text.length)
        .putInt(3 << 16)
        .put(text)
        .array();
  }

  static byte[] message(char type, byte[] body) {
    return ByteBuffer.allocate(5 + body.length)
        .put((byte) type)
        .putInt(4 + body.length)
        .put(body)
        .array();
  }

  static byte[] query(String statement) {
    return message('Q', (statement + "\0").getBytes(StandardCharsets.ISO_8859_1));
  }

  static byte[] ready() {
    return message('Z', new byte[] {'I'});
  }

  static byte[] parameter(String name, String value) {
    return message('S', (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8));
  }

  static byte[] error(String code, String text) {
    return message(
        'E',
        ("SERROR\0VERROR\0C" + code + "\0M" + text + "\0\0").getBytes(StandardCharsets.UTF_8));
  }

  /** RowDescription of one binary column, one DataRow and CommandComplete. */
  static byte[] row(byte[] value, String tag) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] name = "blob\0".getBytes(StandardCharsets.UTF_8);
    ByteBuffer description = ByteBuffer.allocate(2 + name.length + 18);
    description.putShort((short) 1).put(name).putInt(0).putShort((short) 0);
    description.putInt(17).putShort((short) -1).putInt(-1).putShort((short) 1);
    out.writeBytes(message('T', description.array()));
    out.writeBytes(
        message(
            'D',
            ByteBuffer.allocate(6 + value.length)
                .putShort((short) 1)
                .putInt(value.length)
                .put(value)
                .array()));
    out.writeBytes(message('C', (tag + "\0").getBytes(StandardCharsets.UTF_8)));
    return out.toByteArray();
  }

  /** Reads the startup message. */
  static void readStartup(DataInputStream in) throws IOException {
    int length = in.readInt();
    in.readFully(new byte[length - 4]);
  }

  /** Reads a message; null at the end of the stream before its first byte. */
  static Message read(DataInputStream in) throws IOException {
    int type = in.read();
    if (type < 0) {
      return null;
    }
    int length = in.readInt();
    if (length < 4) {
      throw new EOFException("message length " + length);
    }
    byte[] body = new byte[length - 4];
    in.readFully(body);
    return new Message((char) type, body);
  }
}
