package org.coltsfootproxy.entry;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.message.Header;

/** The headers that a target gets: the caller's, less its keys, and those of the system. */
final class ForwardedHeaders {
    /** Header that tells a target for which organisation a request runs. */
    static final String ORGANISATION = "x-organisation";

    /** Header that tells a target the request's id. */
    static final String REQUEST = "x-request-id";

    private ForwardedHeaders() {}

    static List<Header> of(
            List<Header> callerHeaders, OrganisationId organisation, RequestId request) {
        return ImmutableList.<Header>builder()
                .addAll(CallerCheck.withoutKeys(callerHeaders))
                .add(Header.of(ORGANISATION, organisation.value()))
                .add(Header.of(REQUEST, request.toString()))
                .build();
    }
}
