package shelffront.config;

import com.eclipsesource.json.JsonHandler;
import com.eclipsesource.json.JsonParser;
import com.eclipsesource.json.ParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON with minimal-json in one pass into maps, lists, strings, doubles, booleans and null.
 */
public final class JsonReader extends JsonHandler<List<Object>, Map<String, Object>> {

  private Object value;

  private JsonReader() {}

  /**
   * Parses a JSON object.
   *
   * @throws MalformedInputException if the text is not JSON or its top-level value is no object
   */
  public static Map<?, ?> parseObject(String text) throws MalformedInputException {
    JsonReader json = new JsonReader();
    try {
      new JsonParser(json).parse(text);
    } catch (ParseException e) {
      throw new MalformedInputException("not JSON: " + e.getMessage());
    }
    if (json.value instanceof Map<?, ?> map) {
      return map;
    }
    throw new MalformedInputException("not a JSON object");
  }

  static String text(Map<?, ?> object, String name) throws MalformedInputException {
    if (object.get(name) instanceof String text) {
      return text;
    }
    throw new MalformedInputException(name + " is missing or not a string");
  }

  static double number(Map<?, ?> object, String name, double defaultValue)
      throws MalformedInputException {
    return number("", object, name, defaultValue);
  }

  /**
   * Returns the value of a number field, or a default if the field is absent.
   *
   * @param path prefix of the field's name in the error message, ending with a dot unless empty
   */
  static double number(String path, Map<?, ?> object, String name, double defaultValue)
      throws MalformedInputException {
    Object found = object.get(name);
    if (found == null) {
      return defaultValue;
    }
    if (found instanceof Number number) {
      return number.doubleValue();
    }
    throw new MalformedInputException(path + name + " is not a number");
  }

  static Map<?, ?> object(Map<?, ?> object, String name) throws MalformedInputException {
    if (object.get(name) instanceof Map<?, ?> map) {
      return map;
    }
    throw new MalformedInputException(name + " is missing or not an object");
  }

  @Override
  public List<Object> startArray() {
    return new ArrayList<>();
  }

  @Override
  public Map<String, Object> startObject() {
    return new HashMap<>();
  }

  @Override
  public void endNull() {
    value = null;
  }

  @Override
  public void endBoolean(boolean flag) {
    value = flag;
  }

  @Override
  public void endString(String text) {
    value = text;
  }

  @Override
  public void endNumber(String digits) {
    value = Double.valueOf(digits);
  }

  @Override
  public void endArray(List<Object> array) {
    value = array;
  }

  @Override
  public void endArrayValue(List<Object> array) {
    array.add(value);
  }

  @Override
  public void endObject(Map<String, Object> object) {
    value = object;
  }

  @Override
  public void endObjectValue(Map<String, Object> object, String name) {
    object.put(name, value);
  }
}
