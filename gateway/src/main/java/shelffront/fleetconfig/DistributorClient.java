package shelffront.fleetconfig;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import shelffront.distribution.Endpoint;
import shelffront.distribution.Version;
import shelffront.fleetconfig.DistributionException.DistributionGarbled;
import shelffront.fleetconfig.DistributionException.DistributorRefused;
import shelffront.fleetconfig.DistributionException.DistributorUnreachable;

/** The calls of one distributor's HTTP interface. Each gives up by itself; nothing here blocks. */
final class DistributorClient {

  private static final int FIRST_ERROR = 300;

  /** Reads an answer's body. */
  private interface Reader<T> {

    T read(byte[] body) throws DistributionGarbled;
  }

  private final HttpClient http;
  private final Endpoint endpoint;

  DistributorClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  CompletableFuture<Messages.Subscribed> subscribe(Messages.Subscribe asked, long within) {
    return post("/v1/subscriptions", asked.bytes(), within, Messages.Subscribed::read);
  }

  CompletableFuture<Messages.Added> changeNames(
      String subscription, Messages.ChangeNames change, long within) {
    return post(
        "/v1/subscriptions/" + subscription + "/names",
        change.bytes(),
        within,
        Messages.Added::read);
  }

  CompletableFuture<Messages.Polled> poll(
      String subscription, Version after, long wait, long within) {
    String path =
        "/v1/subscriptions/"
            + subscription
            + "/changes?incarnation="
            + after.incarnation()
            + "&sequence="
            + after.sequence()
            + "&waitMicros="
            + wait;
    return call(HttpRequest.newBuilder(uri(path)).GET(), within, Messages.Polled::read);
  }

  CompletableFuture<Void> reject(String subscription, Messages.Rejected rejected, long within) {
    return post(
        "/v1/subscriptions/" + subscription + "/rejected", rejected.bytes(), within, body -> null);
  }

  private URI uri(String path) {
    return URI.create("http://" + endpoint.address() + path);
  }

  private <T> CompletableFuture<T> post(String path, byte[] body, long within, Reader<T> reader) {
    return call(
        HttpRequest.newBuilder(uri(path)).POST(BodyPublishers.ofByteArray(body)), within, reader);
  }

  private <T> CompletableFuture<T> call(
      HttpRequest.Builder request, long within, Reader<T> reader) {
    CompletableFuture<HttpResponse<byte[]>> call =
        http.sendAsync(
            request.timeout(Duration.ofNanos(within * 1000)).build(), BodyHandlers.ofByteArray());
    // The request's own limit ends with the answer's headers; this one holds for its body too.
    CompletableFuture<HttpResponse<byte[]>> bounded =
        call.copy().orTimeout(within, TimeUnit.MICROSECONDS);
    return bounded.handle(
        (answer, failure) -> {
          if (failure != null) {
            call.cancel(true);
            throw new CompletionException(new DistributorUnreachable(endpoint.address(), failure));
          }
          return read(answer, reader);
        });
  }

  private <T> T read(HttpResponse<byte[]> answer, Reader<T> reader) {
    if (answer.statusCode() >= FIRST_ERROR) {
      throw new CompletionException(
          new DistributorRefused(endpoint.address(), answer.statusCode()));
    }
    try {
      return reader.read(answer.body());
    } catch (DistributionGarbled e) {
      throw new CompletionException(e);
    }
  }
}
