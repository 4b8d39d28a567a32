package shelffront.quota;

import java.util.ArrayDeque;

/**
 * Deficit round robin (Shreedhar and Varghese, 1996) over flows whose item costs are known only
 * after processing. A flow without credit is skipped until it has gained credit again, by one
 * quantum times its weight per round.
 *
 * <p>Invariants: the items of a flow keep their order, and a flow is never delayed while no other
 * flow has items. Not thread-safe.
 *
 * @param <T> type of the items
 */
public final class DeficitRoundRobin<T> {

  /** Maximum debt of a flow, in rounds. Bounds how long a flow is skipped after expensive items. */
  private static final long MAX_DEBT_ROUNDS = 64;

  /**
   * A flow: its queued items and its credit.
   *
   * @param <T> type of the items
   */
  public static final class Flow<T> {

    private final ArrayDeque<T> queue = new ArrayDeque<>();
    private double weight;
    private double credit;
    private boolean active;

    public Flow(double weight) {
      this.weight = weight;
    }

    /** Sets the weight, which is above 0. */
    public void setWeight(double newWeight) {
      weight = newWeight;
    }
  }

  private final long quantum;
  private final ArrayDeque<Flow<T>> activeFlows = new ArrayDeque<>();
  private Flow<T> current;
  private int queuedItems; // of all flows

  /**
   * Creates a scheduler without flows.
   *
   * @param quantum cost that a flow of weight 1 may incur per round
   */
  public DeficitRoundRobin(long quantum) {
    this.quantum = quantum;
  }

  /** Appends an item to its flow. A flow accumulates no credit while it is idle. */
  public void add(Flow<T> flow, T item) {
    flow.queue.add(item);
    queuedItems++;
    if (!flow.active) {
      flow.active = true;
      flow.credit = Math.min(flow.credit, 0) + quantum * flow.weight;
      activeFlows.add(flow);
    }
  }

  /**
   * Returns the next item, whose cost the caller then passes to {@link #charge}; null if no item is
   * queued.
   */
  public T next() {
    while (!activeFlows.isEmpty()) {
      Flow<T> flow = activeFlows.peek();
      if (flow.queue.isEmpty()) {
        activeFlows.poll();
        flow.active = false;
      } else if (flow.credit <= 0 && activeFlows.size() > 1) {
        flow.credit += quantum * flow.weight;
        activeFlows.add(activeFlows.poll());
      } else {
        current = flow;
        queuedItems--;
        return flow.queue.poll();
      }
    }
    return null;
  }

  /** Charges the flow of the item returned last with its cost, in the unit of the quantum. */
  public void charge(long cost) {
    double minCredit = -quantum * MAX_DEBT_ROUNDS * current.weight;
    current.credit = Math.max(minCredit, current.credit - Math.max(1, cost));
  }

  public boolean isEmpty() {
    return queuedItems == 0;
  }
}
