package shelffront.quota;

import java.util.ArrayDeque;

/**
 * Deficit round robin (Shreedhar and Varghese, 1996) over flows whose items' costs are known only
 * once they are done: a flow whose credit is used up waits until it has had its rounds.
 *
 * <p>Invariants: items of one flow keep their order, and a flow that is alone is never held back.
 * Threads: belongs to one.
 *
 * @param <T> the items
 */
public final class DeficitRoundRobin<T> {

  /**
   * The most that a flow may owe, in rounds of its own: bounds how long it waits for what its items
   * cost.
   */
  private static final long MAX_DEBT_ROUNDS = 64;

  /**
   * One that takes its turn: items that wait, and its credit.
   *
   * @param <T> the items
   */
  public static final class Flow<T> {

    private final ArrayDeque<T> waiting = new ArrayDeque<>();
    private double weight;
    private double credit;
    private boolean inRing;

    public Flow(double weight) {
      this.weight = weight;
    }

    /** Above 0. */
    public void setWeight(double newWeight) {
      weight = newWeight;
    }
  }

  private final long quantum;
  private final ArrayDeque<Flow<T>> ring = new ArrayDeque<>();
  private Flow<T> current;
  private int waitingItems; // of all flows

  /** The quantum is the cost that a flow of weight 1 may run up in a round. */
  public DeficitRoundRobin(long quantum) {
    this.quantum = quantum;
  }

  /** Puts an item behind those of its flow. A flow saves up no credit while it is idle. */
  public void add(Flow<T> flow, T item) {
    flow.waiting.add(item);
    waitingItems++;
    if (!flow.inRing) {
      flow.inRing = true;
      flow.credit = Math.min(flow.credit, 0) + quantum * flow.weight;
      ring.add(flow);
    }
  }

  /** The next item, whose cost is to be given to {@link #charge}; null where none waits. */
  public T next() {
    while (!ring.isEmpty()) {
      Flow<T> flow = ring.peek();
      if (flow.waiting.isEmpty()) {
        ring.poll();
        flow.inRing = false;
      } else if (flow.credit <= 0 && ring.size() > 1) {
        flow.credit += quantum * flow.weight;
        ring.add(ring.poll());
      } else {
        current = flow;
        waitingItems--;
        return flow.waiting.poll();
      }
    }
    return null;
  }

  /** What the item given last has cost, in the unit of the quantum. */
  public void charge(long cost) {
    double leastCredit = -quantum * MAX_DEBT_ROUNDS * current.weight;
    current.credit = Math.max(leastCredit, current.credit - Math.max(1, cost));
  }

  public boolean isEmpty() {
    return waitingItems == 0;
  }
}
