package org.coltsfootproxy.direct;

import java.util.List;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/** The protocol between this system and targets. */
public interface TargetProtocol {
    /** Returns the headers of a call: the caller's without its keys, and those of this system. */
    List<Header> headers(List<Header> callerHeaders, TargetRequest request);

    /** Returns the host name that a call names, without its port; empty if it names none. */
    String hostName(List<Header> callerHeaders);

    /**
     * Returns the parts of a call's prompt that other calls may share, in their order; empty if the
     * headers name none.
     */
    List<PromptPartId> sharedPromptParts(List<Header> callerHeaders);

    /** Returns the sizes that a call declares. */
    DeclaredSizes declaredSizes(List<Header> callerHeaders);

    /** Returns the decoded head of an answer. */
    TargetAnswer read(Input.TargetHead head);

    /** Returns the name of the header whose value an answer copies from its call. */
    String correlationHeader();

    /** Returns the name of the header of calls with the milliseconds that are left. */
    String timeLeftHeader();
}
