package shelffront.net;

import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.quota.DeficitRoundRobin.Flow;

/**
 * Resources that connections share: the event loop, channels, memory budget, counters and log. Each
 * tenant has its own view, whose tasks run in the tenant's flow. The tenant ID is empty in a view
 * that belongs to no particular tenant.
 */
public record Network(
    EventLoop loop,
    Channels channels,
    ResourceBudget budget,
    Counters counters,
    EventLog log,
    Flow<Runnable> taskFlow,
    String tenantId) {

  /** Creates a network on sockets of the operating system. */
  public static Network open(EventLoop loop, ResourceBudget budget, Counters counters, EventLog log)
      throws IOException {
    return open(loop, Channels.sockets(1), budget, counters, log);
  }

  public static Network open(
      EventLoop loop, Channels channels, ResourceBudget budget, Counters counters, EventLog log) {
    return new Network(loop, channels, budget, counters, log, loop.sharedFlow(), "");
  }

  /**
   * Returns a view with other channels. If several threads run their completion handlers, use the
   * view only for connections that need not see the completion of a write before the response to
   * it, such as those of a listener in front of several loops.
   */
  public Network withChannels(Channels newChannels) {
    return new Network(loop, newChannels, budget, counters, log, taskFlow, tenantId);
  }

  /**
   * Returns a tenant's view with its own flow, budget and counters. The budget and the counters are
   * children of those of this network.
   */
  public Network forTenant(String id, Flow<Runnable> tenantFlow, long bufferBytes) {
    return new Network(
        loop,
        channels,
        new ResourceBudget(budget, bufferBytes),
        new Counters(counters),
        log,
        tenantFlow,
        id);
  }

  /** Posts a task to the loop in this view's flow. Any thread may call. */
  public void post(Runnable task) {
    loop.post(taskFlow, task);
  }

  public AsynchronousSocketChannel newChannel() throws IOException {
    return channels.open();
  }
}
