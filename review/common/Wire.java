package review.common;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The messages of version 3 of PostgreSQL's protocol that the stand-ins send and read. */
public final class Wire {

  private Wire() {}

  public static byte[] message(char type, byte[] body) {
    return ByteBuffer.allocate(5 + body.length)
        .put((byte) type)
        .putInt(4 + body.length)
        .put(body)
        .array();
  }

  public static byte[] startup() {
    byte[] body = text("user\0api\0database\0ledger\0\0");
    return ByteBuffer.allocate(8 + body.length)
        .putInt(8 + body.length)
        .putInt(3 << 16)
        .put(body)
        .array();
  }

  public static byte[] query(String statement) {
    return message('Q', text(statement + "\0"));
  }

  public static byte[] ready() {
    return message('Z', new byte[] {'I'});
  }

  public static byte[] authenticated() {
    return message('R', new byte[4]);
  }

  public static byte[] parameter(String name, String value) {
    return message('S', text(name + "\0" + value + "\0"));
  }

  public static byte[] error(String code, String text) {
    return message('E', text("SERROR\0VERROR\0C" + code + "\0M" + text + "\0\0"));
  }

  /** RowDescription, one DataRow of one column, CommandComplete. */
  public static byte[] row(byte[] value, String tag) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] name = text("blob\0");
    out.writeBytes(
        message(
            'T',
            ByteBuffer.allocate(2 + name.length + 18)
                .putShort((short) 1)
                .put(name)
                .putInt(0)
                .putShort((short) 0)
                .putInt(17)
                .putShort((short) -1)
                .putInt(-1)
                .putShort((short) 1)
                .array()));
    out.writeBytes(
        message(
            'D',
            ByteBuffer.allocate(6 + value.length)
                .putShort((short) 1)
                .putInt(value.length)
                .put(value)
                .array()));
    out.writeBytes(message('C', text(tag + "\0")));
    return out.toByteArray();
  }

  public static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  public static String text(byte[] bytes, int length) {
    return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
  }

  /** One message that was read. */
  public record Message(char type, byte[] body) {

    /** The field of an ErrorResponse with this letter; empty if there is none. */
    public String field(char letter) {
      for (String field : text(body, body.length).split("\0")) {
        if (!field.isEmpty() && field.charAt(0) == letter) {
          return field.substring(1);
        }
      }
      return "";
    }
  }

  public static Message read(DataInputStream in) throws IOException {
    char type = (char) in.readUnsignedByte();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message(type, body);
  }

  /** A value of the comment before a statement; null if the comment does not have it. */
  public static String parameter(byte[] statement, String name) {
    String head = text(statement, Math.min(statement.length, 512));
    int end = head.indexOf("*/");
    for (String part : head.substring(2, Math.max(2, end)).split(",")) {
      String[] pair = part.strip().split("=", 2);
      if (pair.length == 2 && pair[0].equals(name)) {
        return pair[1];
      }
    }
    return null;
  }
}
