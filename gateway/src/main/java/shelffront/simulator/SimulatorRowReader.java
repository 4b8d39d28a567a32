package shelffront.simulator;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import shelffront.config.MalformedInputException;

/**
 * A cursor over the fields of one row. Each method reads the next field; its name is used in errors
 * only. A field of the wrong type raises a {@link MalformedInputException} that names the row and
 * the field. Fields after the end of the array read as null.
 */
final class SimulatorRowReader {

  private final String rowName;
  private final List<?> values;
  private int next;

  SimulatorRowReader(String rowName, List<?> values, int first) {
    this.rowName = rowName;
    this.values = values;
    this.next = first;
  }

  /** Returns the next value, or null if it is null or the array has ended. */
  private Object nextField() {
    return next < values.size() ? values.get(next++) : null;
  }

  private MalformedInputException malformed(String name, String expected) {
    return new MalformedInputException(rowName + ": field " + name + " is not " + expected);
  }

  String text(String name) throws MalformedInputException {
    String value = optionalText(name);
    if (value == null) {
      throw malformed(name, "a string");
    }
    return value;
  }

  /** Returns the next field if it is a string; null, a number or no field at all reads as null. */
  String optionalText(String name) throws MalformedInputException {
    Object value = nextField();
    if (value == null || value instanceof String) {
      return (String) value;
    }
    if (value instanceof Number) {
      return null;
    }
    throw malformed(name, "a string");
  }

  double number(String name, double defaultValue) throws MalformedInputException {
    Object value = nextField();
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw malformed(name, "a number");
  }

  long integer(String name) throws MalformedInputException {
    Object value = nextField();
    if (value instanceof Number number) {
      return number.longValue();
    }
    throw malformed(name, "a number");
  }

  long integer(String name, long defaultValue) throws MalformedInputException {
    return (long) number(name, defaultValue);
  }

  boolean flag(String name) throws MalformedInputException {
    Object value = nextField();
    if (value instanceof Boolean flag) {
      return flag;
    }
    throw malformed(name, "true or false");
  }

  /** Returns the next field as an object, or null if it is null or absent. */
  Map<?, ?> object(String name) throws MalformedInputException {
    Object value = nextField();
    if (value == null || value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw malformed(name, "an object");
  }

  List<?> array(String name) throws MalformedInputException {
    Object value = nextField();
    if (value instanceof List<?> list) {
      return list;
    }
    throw malformed(name, "an array");
  }

  /** Returns the value that the next field, a string, maps to. */
  <T> T enumValue(String name, Map<String, T> valuesByName) throws MalformedInputException {
    Object value = nextField();
    T found = value == null ? null : valuesByName.get(value);
    if (found == null) {
      throw malformed(name, "one of " + new TreeSet<>(valuesByName.keySet()));
    }
    return found;
  }
}
