package shelffront.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shelffront.config.MalformedInputException;

/** Reads the rows of the line protocol: JSON arrays whose first element is the row's name. */
final class SimulatorInput {

  private static final int TYPICAL_FIELDS = 12;

  /** A row; {@code values} includes the name as its first element. */
  record Row(String name, List<?> values) {

    /** Returns a cursor at the first field after the name. */
    SimulatorRowReader fields() {
      return new SimulatorRowReader(name, values, 1);
    }
  }

  private final JsonParser parser;
  private int line = 1;

  SimulatorInput(JsonFactory factory, InputStream input) throws IOException {
    parser = factory.createParser(input);
  }

  /** Returns the next row, or null at the end of the input. */
  Row next() throws IOException, MalformedInputException {
    if (parser.nextToken() == null) {
      return null;
    }
    line = parser.currentLocation().getLineNr();
    if (readValue() instanceof List<?> values
        && !values.isEmpty()
        && values.get(0) instanceof String name) {
      return new Row(name, values);
    }
    throw new MalformedInputException("row is not a JSON array that begins with a name");
  }

  /** Returns the failure with the line number of the current row before its message. */
  MalformedInputException located(MalformedInputException failure) {
    return new MalformedInputException("line " + line + ": " + failure.getMessage());
  }

  /** Converts a JSON syntax error to a failure with its line number and a message of one line. */
  MalformedInputException located(JsonProcessingException failure) {
    int at = failure.getLocation() == null ? line : failure.getLocation().getLineNr();
    String text = failure.getOriginalMessage().lines().findFirst().orElse("");
    return new MalformedInputException("line " + at + ": " + text);
  }

  private Object readValue() throws IOException {
    return switch (parser.currentToken()) {
      case START_ARRAY -> readArray();
      case START_OBJECT -> readObject();
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> (Object) parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> (Object) parser.getDoubleValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  private List<Object> readArray() throws IOException {
    List<Object> list = new ArrayList<>(TYPICAL_FIELDS);
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(readValue());
    }
    return list;
  }

  private Map<String, Object> readObject() throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      map.put(key, readValue());
    }
    return map;
  }
}
