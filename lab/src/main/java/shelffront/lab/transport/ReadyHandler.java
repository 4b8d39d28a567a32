package shelffront.lab.transport;

import java.nio.channels.SelectionKey;

/** What is registered with the selector: it is told when its channel is ready. */
interface ReadyHandler {

  void ready(SelectionKey key);
}
