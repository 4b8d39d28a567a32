package shelffront.simulator;

import java.util.List;
import java.util.Map;
import shelffront.config.MalformedInputException;

/**
 * One array of the wire: named access to its values by place, with plain messages on what is wrong.
 */
final class SimulatorMessage {

  private final String what;
  private final List<?> values;
  private int next;

  SimulatorMessage(String what, List<?> values, int first) {
    this.what = what;
    this.values = values;
    this.next = first;
  }

  /** The next value, or null when it is null or the array has ended. */
  private Object take() {
    return next < values.size() ? values.get(next++) : null;
  }

  private MalformedInputException bad(String name, String expected) {
    return new MalformedInputException(what + ": " + name + " is not " + expected);
  }

  String text(String name) throws MalformedInputException {
    String value = optionalText(name);
    if (value == null) {
      throw bad(name, "a text");
    }
    return value;
  }

  String optionalText(String name) throws MalformedInputException {
    Object value = take();
    if (value == null || value instanceof String) {
      return (String) value;
    }
    if (value instanceof Number) {
      return null;
    }
    throw bad(name, "a text");
  }

  double number(String name, double absent) throws MalformedInputException {
    Object value = take();
    if (value == null) {
      return absent;
    }
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw bad(name, "a number");
  }

  long integer(String name) throws MalformedInputException {
    Object value = take();
    if (value instanceof Number number) {
      return number.longValue();
    }
    throw bad(name, "a number");
  }

  long integer(String name, long absent) throws MalformedInputException {
    return (long) number(name, absent);
  }

  boolean flag(String name) throws MalformedInputException {
    Object value = take();
    if (value instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "true or false");
  }

  /** The next value as an object; null when absent. */
  Map<?, ?> object(String name) throws MalformedInputException {
    Object value = take();
    if (value == null || value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw bad(name, "an object");
  }

  List<?> array(String name) throws MalformedInputException {
    Object value = take();
    if (value instanceof List<?> list) {
      return list;
    }
    throw bad(name, "an array");
  }

  <T> T word(String name, Map<String, T> words) throws MalformedInputException {
    Object value = take();
    T found = value == null ? null : words.get(value);
    if (found == null) {
      throw bad(name, "a known word");
    }
    return found;
  }
}
