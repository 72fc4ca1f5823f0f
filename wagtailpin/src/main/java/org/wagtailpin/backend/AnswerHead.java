package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.routing.LimitStatement;
import org.wagtailpin.routing.LoadReport;

/**
 * The head of a backend server's answer: its status and headers.
 *
 * @param status the HTTP status code, 200 to 599
 * @param headers the headers as received
 * @param load the load reported by the server, empty if there is no valid report
 * @param limit what the answer states of the requests that the server takes
 */
public record AnswerHead(
    int status, HttpHeaders headers, Optional<LoadReport> load, LimitStatement limit) {}
