package shelffront.decision;

import java.util.Comparator;
import shelffront.routing.RequestClass;

/** Orders the queues of a replica set by value per unit of work, highest first. */
record RequestQueueOrder(RoutingState state) {

  /** Sorts the queues again, because typical service times change. */
  void update() {
    if (state.queueOrder.isEmpty()) {
      addQueues(false);
      addQueues(true);
    }
    state.queueOrder.sort(Comparator.comparingDouble(key -> -valuePerServiceMicro(key)));
  }

  private void addQueues(boolean late) {
    for (int index = 0; index < state.typicalServiceMicros.length; index++) {
      state.queueOrder.add(new RequestQueueKey(index, late));
    }
  }

  /** Value of a response to a request in the queue, per microsecond of typical service time. */
  private double valuePerServiceMicro(RequestQueueKey key) {
    RequestClass requestClass = state.settings.requestClasses().get(key.classIndex());
    return requestClass.priorityWeight()
        * (key.late() ? requestClass.lateValueFraction() : 1)
        / state.typicalServiceMicros[key.classIndex()];
  }
}
