package shelffront.controlplane;

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
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.controlplane.DistributionException.DistributorRefused;
import shelffront.controlplane.DistributionException.DistributorUnreachable;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.Version;

/**
 * Client of the HTTP interface of one distributor. Every call has a timeout, and a call that fails
 * completes exceptionally with {@link DistributorUnreachable}, {@link DistributorRefused} or {@link
 * DistributionGarbled}. Thread-safe and non-blocking.
 */
final class DistributorClient {

  private static final long NANOS_PER_MICRO = 1000;

  /** Parses the body of a response. */
  private interface Reader<T> {

    T read(byte[] body) throws DistributionGarbled;
  }

  private final HttpClient http;
  private final DistributorEndpoint endpoint;

  DistributorClient(HttpClient http, DistributorEndpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  DistributorEndpoint endpoint() {
    return endpoint;
  }

  CompletableFuture<DistributionMessages.SubscribeResponse> subscribe(
      DistributionMessages.SubscribeRequest request, long withinMicros) {
    return post(
        "/v1/subscriptions",
        request.toJson(),
        withinMicros,
        DistributionMessages.SubscribeResponse::fromJson);
  }

  CompletableFuture<DistributionMessages.ChangeNamesResponse> changeNames(
      String subscription, DistributionMessages.ChangeNamesRequest change, long withinMicros) {
    return post(
        "/v1/subscriptions/" + subscription + "/names",
        change.toJson(),
        withinMicros,
        DistributionMessages.ChangeNamesResponse::fromJson);
  }

  CompletableFuture<DistributionMessages.PollResponse> poll(
      String subscription, Version after, long waitMicros, long withinMicros) {
    String path =
        "/v1/subscriptions/"
            + subscription
            + "/changes?incarnation="
            + after.incarnation()
            + "&sequence="
            + after.sequence()
            + "&waitMicros="
            + waitMicros;
    return call(
        HttpRequest.newBuilder(uri(path)).GET(),
        withinMicros,
        DistributionMessages.PollResponse::fromJson);
  }

  CompletableFuture<Void> reject(
      String subscription, DistributionMessages.RejectionReport report, long withinMicros) {
    return post(
        "/v1/subscriptions/" + subscription + "/rejected",
        report.toJson(),
        withinMicros,
        body -> null);
  }

  private URI uri(String path) {
    return URI.create("http://" + endpoint.address() + path);
  }

  private <T> CompletableFuture<T> post(
      String path, byte[] body, long withinMicros, Reader<T> reader) {
    return call(
        HttpRequest.newBuilder(uri(path)).POST(BodyPublishers.ofByteArray(body)),
        withinMicros,
        reader);
  }

  private <T> CompletableFuture<T> call(
      HttpRequest.Builder request, long withinMicros, Reader<T> reader) {
    CompletableFuture<HttpResponse<byte[]>> call =
        http.sendAsync(
            request.timeout(Duration.ofNanos(withinMicros * NANOS_PER_MICRO)).build(),
            BodyHandlers.ofByteArray());
    // The timeout of the request covers the time until the response headers only; this one also
    // covers the body.
    CompletableFuture<HttpResponse<byte[]>> bounded =
        call.copy().orTimeout(withinMicros, TimeUnit.MICROSECONDS);
    return bounded.handle(
        (response, failure) -> {
          if (failure != null) {
            call.cancel(true);
            throw new CompletionException(new DistributorUnreachable(endpoint.address(), failure));
          }
          return read(response, reader);
        });
  }

  private <T> T read(HttpResponse<byte[]> response, Reader<T> reader) {
    if (response.statusCode() >= HttpStatus.FIRST_ERROR) {
      throw new CompletionException(
          new DistributorRefused(endpoint.address(), response.statusCode()));
    }
    try {
      return reader.read(response.body());
    } catch (DistributionGarbled e) {
      throw new CompletionException(e);
    }
  }
}
