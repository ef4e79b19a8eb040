package org.coltsfootproxy.job;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Input;

/** A parsed HTTP call of the batch job interface. */
final class JobCall {
    /** Prefix of all paths of this interface. */
    static final String PREFIX = "/v1/jobs";

    private final Input.HttpCall mHttp;
    private final List<String> mSegments;
    private final Map<String, String> mQuery;

    private JobCall(Input.HttpCall http, List<String> segments, Map<String, String> query) {
        mHttp = http;
        mSegments = segments;
        mQuery = query;
    }

    /**
     * Parses a call.
     *
     * @param path the part of the path from {@link #PREFIX} on, with the query
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST} if the path can't be
     *     decoded
     */
    static JobCall parse(Input.HttpCall http, String path) throws ProxyException {
        try {
            String[] parts = path.split("\\?", 2);
            List<String> segments =
                    Arrays.stream(parts[0].substring(PREFIX.length()).split("/"))
                            .filter(segment -> !segment.isEmpty())
                            .map(JobCall::decode)
                            .toList();
            return new JobCall(http, segments, query(parts.length > 1 ? parts[1] : ""));
        } catch (IllegalArgumentException e) {
            throw ProxyException.of(
                    ErrorKind.MALFORMED_REQUEST, "the path can't be decoded: " + path, e);
        }
    }

    private static Map<String, String> query(String query) {
        Map<String, String> values = new LinkedHashMap<>();
        Arrays.stream(query.split("&"))
                .filter(pair -> !pair.isEmpty())
                .map(pair -> pair.split("=", 2))
                .forEach(p -> values.put(decode(p[0]), p.length > 1 ? decode(p[1]) : ""));
        return values;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    long call() {
        return mHttp.call();
    }

    String method() {
        return mHttp.method();
    }

    byte[] body() {
        return mHttp.body();
    }

    /** Returns the number of path segments after the prefix. */
    int depth() {
        return mSegments.size();
    }

    /** Returns a path segment after the prefix, or an empty string if there are fewer. */
    String segment(int index) {
        return index < mSegments.size() ? mSegments.get(index) : "";
    }

    /** Returns the job id in the path. */
    JobId job() throws ProxyException {
        return jobId(segment(0));
    }

    static JobId jobId(String value) throws ProxyException {
        if (!Names.isValid(value)) {
            throw ProxyException.of(
                    ErrorKind.INVALID_JOB, "job id '" + value + "' is not a valid name");
        }
        return JobId.of(value);
    }

    Optional<String> parameter(String name) {
        return Optional.ofNullable(mQuery.get(name));
    }

    String required(String name) throws ProxyException {
        return parameter(name)
                .filter(value -> !value.isEmpty())
                .orElseThrow(
                        () ->
                                ProxyException.of(
                                        ErrorKind.INVALID_JOB,
                                        "the parameter '" + name + "' is missing"));
    }

    long number(String name, String value, long min, long max) throws ProxyException {
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw invalidNumber(name, value, min, max);
        }
        throw invalidNumber(name, value, min, max);
    }

    private static ProxyException invalidNumber(String name, String value, long min, long max) {
        String detail = "'%s' must be a number from %d to %d, not '%s'";
        return ProxyException.of(
                ErrorKind.INVALID_JOB, String.format(detail, name, min, max, value));
    }
}
