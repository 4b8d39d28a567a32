package shelffront.simulator;

import java.util.HashMap;
import java.util.Map;
import shelffront.config.MalformedInputException;
import shelffront.config.RoutingSettingsCodec;
import shelffront.routing.RequestClass;
import shelffront.routing.Router;
import shelffront.routing.RoutingSettings;

/**
 * A hosted instance of the decision module.
 *
 * @param positionZeroMicros the clock time that corresponds to position 0 of the protocol
 * @param classIndexes the indexes of request classes in the settings, by class name
 */
record SimulatorInstance(
    Router router, long positionZeroMicros, Map<String, Integer> classIndexes) {

  static SimulatorInstance of(Router router, RoutingSettings settings, Map<?, ?> facts)
      throws MalformedInputException {
    Map<String, Integer> classIndexes = new HashMap<>();
    for (RequestClass requestClass : settings.requestClasses()) {
      classIndexes.put(requestClass.name(), classIndexes.size());
    }
    return new SimulatorInstance(
        router, RoutingSettingsCodec.positionZeroMicros(facts), classIndexes);
  }
}
