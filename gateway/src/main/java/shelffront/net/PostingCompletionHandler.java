package shelffront.net;

import java.nio.channels.CompletionHandler;
import java.util.function.BiConsumer;

/**
 * Posts the result of an operation on a connection's channel to its loop. Called by a completion
 * thread; the consumer runs on the loop thread, unless the connection is closed by then.
 */
final class PostingCompletionHandler<T> implements CompletionHandler<T, Void> {

  private final Connection connection;
  private final boolean isRead;
  private final BiConsumer<T, Throwable> consumer;

  PostingCompletionHandler(
      Connection connection, boolean isRead, BiConsumer<T, Throwable> consumer) {
    this.connection = connection;
    this.isRead = isRead;
    this.consumer = consumer;
  }

  @Override
  public void completed(T result, Void attachment) {
    post(result, null);
  }

  @Override
  public void failed(Throwable failure, Void attachment) {
    post(null, failure);
  }

  private void post(T result, Throwable failure) {
    if (isRead) {
      connection.setUnprocessedInput(true);
    }
    connection.network.post(() -> process(result, failure));
  }

  private void process(T result, Throwable failure) {
    try {
      if (isRead) {
        connection.setUnprocessedInput(false);
      }
      if (!connection.isClosed()) {
        consumer.accept(result, failure);
      }
    } catch (RuntimeException e) {
      connection.network.counters().add(Counters.Name.FAULTS);
      e.printStackTrace();
      // If it stayed open, it would remain marked as reading and never be read again.
      connection.close(CloseReason.FAULT);
    }
  }
}
