"""Compile a folder of declarations into the form that nodes use."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType

import attrs

from cranecart.config._files import (
    Body,
    DeploymentFile,
    ModelBody,
    OrganisationFile,
    TemplateFile,
    Use,
)
from cranecart.config._template import (
    argument_problems,
    fill_body,
    unknown_references,
)
from cranecart.declarations import (
    Declarations,
    FencingSupport,
    ModelSpec,
    OrganisationSpec,
    Preference,
    ServiceSpec,
)
from cranecart.documents import (
    Document,
    Finding,
    FindingsError,
    read_document,
    structure,
    suggest,
)

_Parsed = DeploymentFile | TemplateFile | OrganisationFile

_KINDS: Mapping[str, type[_Parsed]] = MappingProxyType(
    {
        'deployment': DeploymentFile,
        'template': TemplateFile,
        'organisation': OrganisationFile,
    },
)


@attrs.define
class _Files:
    """The parsed files of a folder by kind, with their documents."""

    deployments: list[tuple[Document, DeploymentFile]] = attrs.field(
        factory=list,
    )
    templates: dict[str, tuple[Document, TemplateFile]] = attrs.field(
        factory=dict,
    )
    organisations: dict[str, tuple[Document, OrganisationFile]] = attrs.field(
        factory=dict,
    )


def compile_folder(folder: Path) -> Declarations:
    """Return the declarations that the files of a folder compile to.

    Raise ``FindingsError`` with all findings, each with file and line.
    """
    findings: list[Finding] = []
    files = _read_folder(folder, findings)
    if len(files.deployments) != 1:
        findings.append(
            Finding(
                str(folder),
                1,
                'needs exactly one deployment file, '
                f'found {len(files.deployments)}',
            ),
        )
    if findings:
        raise FindingsError(findings)
    _document, deployment = files.deployments[0]
    compiler = _Compiler(files, deployment, findings)
    declarations = compiler.compile()
    if findings:
        raise FindingsError(findings)
    return declarations


def _read_folder(folder: Path, findings: list[Finding]) -> _Files:
    files = _Files()
    for file in sorted(folder.rglob('*.json')):
        try:
            document = read_document(file)
            parsed = _parse(document)
        except FindingsError as error:
            findings.extend(error.findings)
        else:
            findings.extend(_add_file(files, document, parsed))
    return files


def _parse(document: Document) -> _Parsed:
    root = document.root
    kind = str(root.get('kind')) if isinstance(root, dict) else ''
    if kind not in _KINDS:
        hint = suggest(kind, _KINDS)
        raise FindingsError(
            [document.finding(('kind',), f'unknown kind {kind!r}{hint}')],
        )
    return structure(document, _KINDS[kind])


def _add_file(
    files: _Files,
    document: Document,
    parsed: _Parsed,
) -> Iterator[Finding]:
    match parsed:
        case DeploymentFile():
            files.deployments.append((document, parsed))
        case TemplateFile():
            if parsed.name in files.templates:
                yield _duplicate_name(document, parsed.name)
            for name in unknown_references(parsed):
                hint = suggest(name, parsed.parameters)
                yield document.finding(
                    ('body',),
                    f'unknown parameter {name!r}{hint}',
                )
            files.templates[parsed.name] = (document, parsed)
        case OrganisationFile():
            if parsed.name in files.organisations:
                yield _duplicate_name(document, parsed.name)
            files.organisations[parsed.name] = (document, parsed)


def _duplicate_name(document: Document, name: str) -> Finding:
    return document.finding(('name',), f'name {name!r} is already in use')


@attrs.define
class _Compiler:
    """Instantiates the templates that each organisation uses."""

    _files: _Files
    _deployment: DeploymentFile
    _findings: list[Finding]
    _models: dict[str, ModelSpec] = attrs.field(factory=dict, init=False)
    _services: dict[str, ServiceSpec] = attrs.field(factory=dict, init=False)

    def compile(self) -> Declarations:
        organisations = tuple(
            self._organisation(document, organisation)
            for document, organisation in self._files.organisations.values()
        )
        return Declarations(
            self._deployment.name,
            self._deployment.region,
            self._deployment.failure_domains,
            tuple(self._models[key] for key in sorted(self._models)),
            tuple(self._services[name] for name in sorted(self._services)),
            organisations,
        )

    def _organisation(
        self,
        document: Document,
        organisation: OrganisationFile,
    ) -> OrganisationSpec:
        models: set[str] = set()
        services: set[str] = set()
        for index, use in enumerate(organisation.uses):
            body = self._instantiate(document, index, use)
            for model in body.models:
                self._add_model(document, index, model)
                models.add(model.name)
            for service in body.services:
                self._services[service.name] = ServiceSpec(
                    service.name,
                    service.non_repeatable_paths,
                )
                services.add(service.name)
        return OrganisationSpec(
            organisation.name,
            organisation.key_sha256,
            organisation.limits,
            organisation.priority,
            tuple(sorted(models)),
            tuple(sorted(services)),
        )

    def _instantiate(self, document: Document, index: int, use: Use) -> Body:
        path = ('uses', index)
        entry = self._files.templates.get(use.template)
        if entry is None:
            hint = suggest(use.template, self._files.templates)
            self._findings.append(
                document.finding(
                    (*path, 'template'),
                    f'unknown template {use.template!r}{hint}',
                ),
            )
            return Body()
        template_document, template = entry
        problems = [
            document.finding((*path, 'parameters', name), problem)
            for name, problem in argument_problems(template, use)
        ]
        self._findings.extend(problems)
        if problems:
            return Body()
        try:
            return structure(
                template_document,
                Body,
                ('body',),
                fill_body(template, use),
            )
        except FindingsError as error:
            self._findings.extend(error.findings)
            return Body()

    def _add_model(
        self,
        document: Document,
        index: int,
        model: ModelBody,
    ) -> None:
        spec = self._to_spec(model)
        for name in spec.failure_domains:
            if name not in self._deployment.failure_domains:
                hint = suggest(name, self._deployment.failure_domains)
                self._findings.append(
                    document.finding(
                        ('uses', index),
                        f'unknown failure domain {name!r}{hint}',
                    ),
                )
        earlier = self._models.get(spec.key)
        if earlier is None:
            self._models[spec.key] = spec
            return
        # Organisations that instantiate the same model share its replicas.
        total_replicas = earlier.replicas + spec.replicas
        if attrs.evolve(earlier, replicas=spec.replicas) != spec:
            self._findings.append(
                document.finding(
                    ('uses', index),
                    f'{spec.key} differs from an earlier use in more '
                    'than its number of replicas',
                ),
            )
        self._models[spec.key] = attrs.evolve(earlier, replicas=total_replicas)

    def _to_spec(self, model: ModelBody) -> ModelSpec:
        return ModelSpec(
            model.name,
            model.version,
            model.replicas,
            model.instances_per_replica,
            model.failure_domains or self._deployment.failure_domains,
            Preference(model.prefer),
            FencingSupport(model.fencing),
            model.adapters,
        )
