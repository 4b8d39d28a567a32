package shelffront.decision;

import java.util.Comparator;
import shelffront.routing.RequestClass;

/** The order in which the queues of a replica set are served: most value for the work first. */
record RequestQueueOrder(RoutingState state) {

  /** Sorts the queues anew, since typical service times change. */
  void update() {
    if (state.queueOrder.isEmpty()) {
      addQueues(false);
      addQueues(true);
    }
    state.queueOrder.sort(Comparator.comparingDouble(key -> -valueForWork(key)));
  }

  private void addQueues(boolean late) {
    for (int index = 0; index < state.typicalServiceMicros.length; index++) {
      state.queueOrder.add(new RequestQueueKey(index, late));
    }
  }

  /** Value of an answer to a queue's requests, for each microsecond of typical service time. */
  private double valueForWork(RequestQueueKey key) {
    RequestClass requestClass = state.settings.requestClasses().get(key.classIndex());
    return requestClass.priorityWeight()
        * (key.late() ? requestClass.lateValueFraction() : 1)
        / state.typicalServiceMicros[key.classIndex()];
  }
}
