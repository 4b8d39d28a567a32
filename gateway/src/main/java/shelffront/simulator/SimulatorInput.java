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

/** Reads the rows of the simulator's wire: JSON arrays that begin with a name. */
final class SimulatorInput {

  private static final int TYPICAL_FIELDS = 12;

  /** One row: its name, and all of its values with the name as the first. */
  record Row(String name, List<?> values) {

    /** The fields behind the name. */
    SimulatorMessage fields() {
      return new SimulatorMessage(name, values, 1);
    }
  }

  private final JsonParser parser;
  private int line = 1;

  SimulatorInput(JsonFactory factory, InputStream input) throws IOException {
    parser = factory.createParser(input);
  }

  /** The next row; null at the end of the input. */
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
    throw new MalformedInputException("not an array that begins with a name");
  }

  /** Puts the line at which the row began before the message. */
  MalformedInputException located(MalformedInputException failure) {
    return new MalformedInputException("line " + line + ": " + failure.getMessage());
  }

  /** What is wrong with the JSON, and in which line. */
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
