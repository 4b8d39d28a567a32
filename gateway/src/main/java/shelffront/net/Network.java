package shelffront.net;

import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.quota.DeficitRoundRobin.Flow;

/**
 * What connections share: the event loop, the source of channels, the memory budget, counters and
 * the log. Each tenant has its own view, whose flow takes turns with those of the others; the
 * tenant is empty where there is only one.
 */
public record Network(
    EventLoop loop,
    Channels channels,
    ResourceBudget budget,
    Counters counters,
    EventLog log,
    Flow<Runnable> taskFlow,
    String tenantId) {

  /** On the machine's sockets. */
  public static Network open(EventLoop loop, ResourceBudget budget, Counters counters, EventLog log)
      throws IOException {
    return open(loop, Channels.sockets(1), budget, counters, log);
  }

  public static Network open(
      EventLoop loop, Channels channels, ResourceBudget budget, Counters counters, EventLog log) {
    return new Network(loop, channels, budget, counters, log, loop.sharedFlow(), "");
  }

  /**
   * A view on other channels. Where their completions run on several threads it is only for
   * connections that need not see a write's completion before the answer to it, as a listener's
   * before several loops.
   */
  public Network withChannels(Channels other) {
    return new Network(loop, other, budget, counters, log, taskFlow, tenantId);
  }

  /** A tenant's view: its own flow, budget and counters, which count in the common ones too. */
  public Network forTenant(String id, Flow<Runnable> own, long bufferBytes) {
    return new Network(
        loop,
        channels,
        new ResourceBudget(budget, bufferBytes),
        new Counters(counters),
        log,
        own,
        id);
  }

  /** Hands a result to the loop thread, in this view's flow. Any thread may call it. */
  public void post(Runnable result) {
    loop.post(taskFlow, result);
  }

  public AsynchronousSocketChannel newChannel() throws IOException {
    return channels.open();
  }
}
